package proc

import (
	"context"
	"net/http"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/ready"
	"mangolug.org/router/door"
	"mangolug.org/router/pauses"
	"mangolug.org/router/relay"
)

const (
	// connBytes is the approximate memory of an idle connection: a goroutine's stack, two buffers and its state, taken from the
	// usage log lines of 2,000 connections.
	connBytes = 24 << 10
	// requestBytes is the approximate memory of a request in progress with a connection on each side, from the same log lines.
	requestBytes = 64 << 10
	// connShare and requestShare are the fractions of the process's memory for callers' connections and for requests; fileShare
	// is the fraction of its file descriptors for connections.
	connShare, requestShare, fileShare = 0.2, 0.35, 0.4
	// bodyShare is the fraction of the process's memory for all request bodies together: one body may be 4 MB, and a small VM
	// has 112 MB.
	bodyShare = 0.15
	// answerShare is the fraction of the process's memory for all answers together that are held until they are complete.
	answerShare = 0.1
	// maxConnsFactor is the hard limit of open connections, as a multiple of the limit from which callers are asked to close
	// theirs.
	maxConnsFactor = 1.5
	// idleCloseShare is the fraction of the connection limit that is closed at once, if idle, when a new connection exceeds the
	// hard limit.
	idleCloseShare = 0.1
	// backlogShare is the fraction of the memory for connections that wait to be accepted, each with a request of pendingBytes:
	// the users' long prompts have a mean of 9 KB, and the system's buffers are larger than their content.
	backlogShare, pendingBytes = 0.05, 16 << 10
	// minBacklog holds the callers that connect at the same moment.
	minBacklog = 64
	// overloadStart and overloadEnd are the fractions of the request limit at which the router begins and ceases to report to the
	// balancer that it is not ready.
	overloadStart, overloadEnd = 0.7, 0.35
	// overloadLag is the wait for the processor above which the router is overloaded as well: the wait is added to each step of
	// each request, and the tightest objective is 150 ms.
	overloadLag = 15 * time.Millisecond
	// initialShare is the fraction of the request limit that a new router admits until it has measured what its processor can
	// serve: twice the usual load of the users' small VMs.
	initialShare = 0.25
	// unreadyThreshold is the number of consecutive failed readiness probes after which the balancer sends new connections
	// elsewhere.
	unreadyThreshold = 2
	// probePeriod is the interval of the balancer's readiness probes.
	probePeriod = time.Second
	// maintainPeriod is the interval at which connections and requests are checked.
	maintainPeriod = time.Second
)

// room returns the limits of open connections and of concurrent requests; 0 means no limit.
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

// bodyLimit returns the limit in bytes of all request bodies together; 0 means no limit.
func (p *Process) bodyLimit() int64 { return int64(bodyShare * float64(p.settings.Load().Memory)) }

// answersLimit returns the limit in bytes of all servers' answers that are held together; 0 means no limit.
func (p *Process) answersLimit() int64 {
	return int64(answerShare * float64(p.settings.Load().Memory))
}

// connsOverLimit reports whether too many connections are open, so that callers are to be asked to close theirs. While the router
// is overloaded by requests, only rejected callers are asked, so that as many stay as it can serve.
func (p *Process) connsOverLimit() bool {
	conns, _ := p.settings.Load().room()
	return conns > 0 && p.entrance.Conns.Count() > conns
}

// refuseConn reports whether a new connection exceeds the hard limit; it closes idle connections to make room first.
func (p *Process) refuseConn() bool {
	conns, _ := p.settings.Load().room()
	limit := int(maxConnsFactor * float64(conns))
	if limit == 0 || p.entrance.Conns.Count() < limit {
		return false
	}
	p.entrance.Conns.CloseLongestIdle(max(1, int(idleCloseShare*float64(conns))))
	if p.entrance.Conns.Count() < limit {
		return false
	}
	p.count("connectionsRefused")
	return true
}

// backlog returns how many connections may wait to be accepted; 0 means the system's default.
func (s *Settings) backlog() int {
	if s.Memory <= 0 {
		return 0
	}
	return max(minBacklog, int(backlogShare*float64(s.Memory)/pendingBytes))
}

// untilRedirected returns the time until the balancer sends new connections to other routers, and 0 if it already does.
func (p *Process) untilRedirected() time.Duration {
	return time.Duration(max(0, unreadyThreshold-p.failedProbes.Load())) * probePeriod
}

// rejects reports whether a new request has to be rejected, because open requests use up their memory or the processor is
// overloaded.
func (p *Process) rejects(l relay.Load) bool {
	_, requests := p.settings.Load().room()
	full := requests > 0 && l.Open >= requests || p.limit.rejects(l)
	if full {
		p.closeBlocked()
	}
	return full
}

// callerGone reports whether a request's caller has disconnected.
func callerGone(r *http.Request) bool { return door.CallerGone(r.Context()) }

// maintainConns closes idle connections, updates the overload state, and logs rejected requests and the estimate of the teams'
// shares, until the context ends. It closes only connections that exceed the idle timeout: closing others could cut a request that
// is just arriving.
func (p *Process) maintainConns(ctx context.Context) error {
	for {
		pauses.Sleep(ctx, maintainPeriod)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		idle := idleTimeout
		if t := p.table.Load(); t != nil && t.Config.Limits.IdleTimeout > 0 {
			idle = t.Config.Limits.IdleTimeout
		}
		p.entrance.Conns.CloseIdle(idle)
		if p.refusesNew() {
			p.closeBlocked() // a stop waits for answers
		}
		p.relay.LogShed()
		p.logClients()
		p.relay.LogShares()
		p.relay.LogShort()
		p.logSums()
		p.logBalance()
		p.updateOverload()
	}
}

// updateOverload records and logs whether the router is overloaded: open requests use most of their limit, the processor limit
// rejected a request within maintainPeriod, or goroutines wait too long for the processor. It also decides whether the router stays not
// ready after that.
func (p *Process) updateOverload() {
	p.overloadMutex.Lock()
	defer p.overloadMutex.Unlock()
	_, room := p.settings.Load().room()
	open, refused, lag := p.relay.OpenRequests(), p.limit.rejectedWithin(maintainPeriod), time.Duration(p.lag.Load())
	threshold := overloadStart
	if p.overloaded.Load() {
		threshold = overloadEnd
	}
	overloaded := room > 0 && float64(open) > threshold*float64(room) || refused || lag > overloadLag
	wasAway := p.away.Swap(p.staysAway(overloaded, open, room))
	if was := p.overloaded.Swap(overloaded); was == overloaded && wasAway == p.away.Load() {
		return
	}
	p.log.Warn("crowd", "is", overloaded, "away", p.away.Load(), "open", open, "room", room, "bound", p.limit.bound(), "refused", refused, "lag", lag, "callers", p.entrance.Conns.Count())
}

// staysAway reports whether the router reports that it is not ready although it isn't overloaded, so that callers who entered here alone
// stay spread over several routers.
func (p *Process) staysAway(overloaded bool, open, room int) bool {
	l := ready.Load{Overloaded: overloaded, Open: open, Limit: p.limit.bound(), Routers: 1, Fleet: 1}
	if l.Limit == 0 {
		l.Limit = room
	}
	if p.exchanger != nil {
		p.exchanger.WithFleet(func(now time.Duration, f *digest.Fleet) { l.Routers, l.Fleet = f.CentreSize(now), f.Size(now) })
	}
	p.gate.With(func(now time.Duration, q *pool.Pool) { l.Part = q.DemandPart(now) })
	p.decider.Update(p.now(), l)
	return p.decider.Away()
}
