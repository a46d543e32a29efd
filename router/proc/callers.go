package proc

import (
	"context"
	"net/http"
	"time"

	"mangolug.org/router/door"
	"mangolug.org/router/pauses"
	"mangolug.org/router/relay"
)

const (
	// connBytes is about what a connection takes that no request is on: a goroutine's stack, two buffers and its state, by the
	// usage lines of 2,000 of them.
	connBytes = 24 << 10
	// requestBytes is about what a request takes while it is served, with a connection at each side, by the same lines.
	requestBytes = 64 << 10
	// connShare and requestShare are the parts of the process's memory that callers' connections and requests may take, and
	// fileShare the part of its descriptors that connections may.
	connShare, requestShare, fileShare = 0.2, 0.35, 0.4
	// bodyShare is the part of the process's memory that callers' bodies may take, whatever their number: one may be 4 MB, and a
	// small VM has 112.
	bodyShare = 0.15
	// connsMost is how many times the connections that callers may keep are held at most, while they are asked to close theirs.
	connsMost = 1.5
	// someShare is the part of the connections that are closed at once, if unused, when one more comes.
	someShare = 0.1
	// backlogShare is the part of the memory that connections may take which wait to be accepted, each with a request of
	// waitingBytes: the users' long prompts are 9 KB in the mean, and the system's buffers are larger than what is in them.
	backlogShare, waitingBytes = 0.05, 16 << 10
	// backlogLeast is enough for the callers of one moment.
	backlogLeast = 64
	// crowdBegins and crowdEnds are the parts of the room for requests at which the balancer is told to send callers elsewhere,
	// and to send them again.
	crowdBegins, crowdEnds = 0.7, 0.35
	// lagMany is the wait for the processor that does the same: it is added to each step of each request, of which the tightest
	// objective is 150 ms.
	lagMany = 15 * time.Millisecond
	// startShare is the part of the room for requests that a new router takes at once, until it knows what its processor can
	// serve: two of the usual loads of the users' small VMs.
	startShare = 0.25
	// movedMisses is after how many answers in a row that this router is not ready the balancer sends new connections elsewhere.
	movedMisses = 2
	// askedPeriod is how often the balancer asks.
	askedPeriod = time.Second
	// crowdPeriod is how often connections and requests are looked at.
	crowdPeriod = time.Second
)

// room gives how many connections callers may keep, and how many requests may be served at once; 0 for no bound.
func (s *Settings) room() (conns, requests int) {
	if s.Memory > 0 {
		conns = int(connShare * float64(s.Memory) / connBytes)
		requests = int(requestShare * float64(s.Memory) / requestBytes)
	}
	if files := int(fileShare * float64(s.Files)); files > 0 && (conns == 0 || files < conns) {
		conns = files
	}
	return conns, requests
}

// bodyRoom gives how many bytes callers' bodies may take in all; 0 for no bound.
func (p *Process) bodyRoom() int64 { return int64(bodyShare * float64(p.settings.Load().Memory)) }

// crowded reports whether callers are to be asked to close their connections: too many are open. While requests crowd only
// those that are turned away are asked, so that as many stay as this router can serve.
func (p *Process) crowded() bool {
	conns, _ := p.settings.Load().room()
	return conns > 0 && p.entrance.Conns.Open() > conns
}

// overfull reports that a new connection is one too many, after it closed some that are not in use.
func (p *Process) overfull() bool {
	conns, _ := p.settings.Load().room()
	most := int(connsMost * float64(conns))
	if most == 0 || p.entrance.Conns.Open() < most {
		return false
	}
	p.entrance.Conns.CloseSome(max(1, int(someShare*float64(conns))))
	if p.entrance.Conns.Open() < most {
		return false
	}
	p.count("connectionsRefused")
	return true
}

// backlog gives how many connections may wait to be accepted; 0 for the system's own bound.
func (s *Settings) backlog() int {
	if s.Memory <= 0 {
		return 0
	}
	return max(backlogLeast, int(backlogShare*float64(s.Memory)/waitingBytes))
}

// moved gives how long until the balancer sends new connections to other routers, and 0 if it does.
func (p *Process) moved() time.Duration {
	return time.Duration(max(0, movedMisses-p.misses.Load())) * askedPeriod
}

// full decides whether to turn a request away: so many are open that their memory would not do, or the processor is short.
func (p *Process) full(l relay.Load) bool {
	_, requests := p.settings.Load().room()
	return requests > 0 && l.Open >= requests || p.limit.full(l)
}

// gone reports that a request's caller has left.
func gone(r *http.Request) bool { return door.Gone(r.Context()) }

// keepCallers closes connections that callers leave unused for too long, notes when requests crowd, and tells whom the router
// turned away and what it believes of the teams' shares, until the context ends. Only connections unused for longer than callers
// may leave them are closed: closing others could cut a request that just comes.
func (p *Process) keepCallers(ctx context.Context) error {
	for {
		pauses.For(ctx, crowdPeriod)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		idle := idleTimeout
		if t := p.table.Load(); t != nil && t.Config.Limits.IdleTimeout > 0 {
			idle = t.Config.Limits.IdleTimeout
		}
		p.entrance.Conns.CloseIdle(idle)
		p.relay.LogShed()
		p.relay.LogShares()
		p.tellSums()
		p.lookAtCrowd()
	}
}

// lookAtCrowd notes whether requests crowd: they take most of the room, the processor allowed no more of late, or goroutines wait
// long for it.
func (p *Process) lookAtCrowd() {
	_, room := p.settings.Load().room()
	open, refused, lag := p.relay.OpenRequests(), p.limit.refusedWithin(crowdPeriod), time.Duration(p.lag.Load())
	limit := crowdBegins
	if p.crowd.Load() {
		limit = crowdEnds
	}
	is := room > 0 && float64(open) > limit*float64(room) || refused || lag > lagMany
	if p.crowd.Swap(is) == is {
		return
	}
	p.log.Warn("crowd", "is", is, "open", open, "room", room, "bound", p.limit.bound(), "refused", refused, "lag", lag, "callers", p.entrance.Conns.Open())
}
