package proc

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"runtime"
	"time"

	"mangolug.org/router/door"
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
	// crowdBegins and crowdEnds are the parts of the room for requests at which the balancer is told to send callers elsewhere,
	// and to send them again.
	crowdBegins, crowdEnds = 0.7, 0.35
	// lagBegins and lagEnds do the same for the time that goroutines wait for the processor: it is added to each step of each
	// request, of which the tightest objective is 150 ms.
	lagBegins, lagEnds = 15 * time.Millisecond, 5 * time.Millisecond
	// lagFull is the wait at which half of the requests are turned away, none at half of it and all at one and a half: a
	// request takes some ten steps, and callers give up after a second.
	lagFull = 80 * time.Millisecond
	// lagPeriod is the time between two measurements, and lagWeight the part in the mean of one that is not late.
	lagPeriod, lagWeight = 50 * time.Millisecond, 0.1
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

// crowded reports whether callers are to be asked to close their connections.
func (p *Process) crowded() bool {
	conns, _ := p.settings.Load().room()
	return p.crowd.Load() || conns > 0 && p.entrance.Conns.Open() > conns
}

// full reports whether so many requests are more than this router can hold.
func (p *Process) full(open int) bool {
	_, requests := p.settings.Load().room()
	return requests > 0 && open > requests || rand.Float64() < shed(time.Duration(p.lag.Load()))
}

// shed gives the part of the requests to be turned away for lack of processor. It rises with the wait, so that as much is
// served as the processor can bear: turning away all for a while and then none leaves it idle in between.
func shed(lag time.Duration) float64 {
	return min(1, max(0, float64(lag-lagFull/2)/float64(lagFull)))
}

// gone reports that a request's caller has left.
func gone(r *http.Request) bool { return door.Gone(r.Context()) }

// measureLag follows how long the process's goroutines wait for the processor, until the context ends.
func (p *Process) measureLag(ctx context.Context) error {
	for {
		due := time.Now().Add(lagPeriod)
		timer := time.NewTimer(lagPeriod)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
		runtime.Gosched() // the runtime lets a goroutine run first that a timer wakes; this one waits its turn like all others
		p.noteLag(time.Since(due))
	}
}

// noteLag takes one measurement in, weighed by the time that it covers: a stall of seconds stands for all the measurements
// that it kept from being taken. Each counts up to a bound, so that the mean is back soon after a pause of the whole machine.
func (p *Process) noteLag(late time.Duration) {
	mean := p.lag.Load()
	old := math.Pow(1-lagWeight, 1+float64(max(late, 0))/float64(lagPeriod))
	p.lag.Store(mean + int64((1-old)*float64(int64(min(late, 2*lagFull))-mean)))
}

// keepCallers closes connections that callers leave unused for too long and notes when requests crowd, until the context
// ends. Only those unused for longer than callers may leave them: closing others could cut a request that just comes.
func (p *Process) keepCallers(ctx context.Context) error {
	ticker := time.NewTicker(crowdPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		idle := idleTimeout
		if t := p.table.Load(); t != nil && t.Config.Limits.Idle > 0 {
			idle = t.Config.Limits.Idle
		}
		_, requests := p.settings.Load().room()
		p.entrance.Conns.CloseIdle(idle)
		p.noteCrowd(p.relay.Open(), requests, time.Duration(p.lag.Load()))
	}
}

// noteCrowd takes in how many requests are served, with room for so many, and how long goroutines wait for the processor.
func (p *Process) noteCrowd(open, room int, lag time.Duration) {
	was := p.crowd.Load()
	limit, late := crowdBegins, lagBegins
	if was {
		limit, late = crowdEnds, lagEnds
	}
	is := room > 0 && float64(open) > limit*float64(room) || lag > late
	if is == was {
		return
	}
	p.crowd.Store(is)
	p.log.Warn("crowd", "is", is, "open", open, "room", room, "lag", lag, "callers", p.entrance.Conns.Open())
}
