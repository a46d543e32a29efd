package relay

import (
	"context"
	"sync"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
)

// gatePeriod is the interval at which waiting requests are checked in the absence of other events.
const gatePeriod = 10 * time.Millisecond

// Gate serializes access to the pool. It is ready to use once Pool and Clock are set.
type Gate struct {
	Pool  *pool.Pool
	Clock func() time.Duration

	mutex   sync.Mutex
	waiting map[*pool.Request]chan pool.Decision
	ticking bool
}

// With calls f with exclusive access to the pool.
func (g *Gate) With(f func(now time.Duration, p *pool.Pool)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(g.Clock(), g.Pool)
}

// Admit waits for the pool's decision on a request. A decision without a run is a refusal.
func (g *Gate) Admit(ctx context.Context, a *pool.Request) pool.Decision {
	g.mutex.Lock()
	v, decided := g.Pool.Admit(g.Clock(), a)
	if decided {
		g.mutex.Unlock()
		return v
	}
	if g.waiting == nil {
		g.waiting = make(map[*pool.Request]chan pool.Decision)
	}
	decision := make(chan pool.Decision, 1)
	g.waiting[a] = decision
	if !g.ticking {
		g.ticking = true
		go g.tick()
	}
	g.mutex.Unlock()
	select {
	case v := <-decision:
		return v
	case <-ctx.Done():
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, a)
	if g.Pool.Cancel(a) {
		return pool.Decision{Request: a, Reason: fleet.ReasonCallerGone, Waited: g.Clock() - a.Arrived}
	}
	return <-decision // the decision came while the context ended
}

// RejectUnread counts a request and returns a refusal if the pool already knows that it won't be sent.
func (g *Gate) RejectUnread(a *pool.Request) (pool.Decision, bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.Pool.RejectUnread(g.Clock(), a)
}

// tick checks the waiting requests periodically until none is left.
func (g *Gate) tick() {
	ticker := time.NewTicker(gatePeriod)
	defer ticker.Stop()
	for range ticker.C {
		g.mutex.Lock()
		g.dispatch()
		if len(g.waiting) == 0 {
			g.ticking = false
			g.mutex.Unlock()
			return
		}
		g.mutex.Unlock()
	}
}

func (g *Gate) dispatch() {
	if len(g.waiting) == 0 {
		return
	}
	for _, v := range g.Pool.Dispatch(g.Clock()) {
		g.waiting[v.Request] <- v
		delete(g.waiting, v.Request)
	}
}

// Began records the first event of a run's answer.
func (g *Gate) Began(r *pool.Run) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Pool.Began(g.Clock(), r)
	g.dispatch()
}

// Ended records the end of a run.
func (g *Gate) Ended(r *pool.Run, result pool.Result) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Pool.Ended(g.Clock(), r, result)
	g.dispatch()
}
