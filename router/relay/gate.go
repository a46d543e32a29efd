package relay

import (
	"context"
	"sync"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
)

// gatePeriod is how often waiting requests are looked at when nothing else happens.
const gatePeriod = 10 * time.Millisecond

// Gate lets traffic ask the pool for decisions; its zero value works once Pool and Clock are set.
type Gate struct {
	Pool  *pool.Pool
	Clock func() time.Duration

	mutex   sync.Mutex
	waiting map[*pool.Ask]chan pool.Verdict
	ticking bool
}

// With calls a function while nothing else uses the pool.
func (g *Gate) With(f func(now time.Duration, p *pool.Pool)) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	f(g.Clock(), g.Pool)
}

// Admit waits for the decision on a request; a verdict without a run refuses it.
func (g *Gate) Admit(ctx context.Context, a *pool.Ask) pool.Verdict {
	g.mutex.Lock()
	v, decided := g.Pool.Admit(g.Clock(), a)
	if decided {
		g.mutex.Unlock()
		return v
	}
	if g.waiting == nil {
		g.waiting = make(map[*pool.Ask]chan pool.Verdict)
	}
	answer := make(chan pool.Verdict, 1)
	g.waiting[a] = answer
	if !g.ticking {
		g.ticking = true
		go g.tick()
	}
	g.mutex.Unlock()
	select {
	case v := <-answer:
		return v
	case <-ctx.Done():
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.waiting, a)
	if g.Pool.Leave(a) {
		return pool.Verdict{Ask: a, Reason: fleet.ReasonCallerGone, Waited: g.Clock() - a.Arrived}
	}
	return <-answer // it was decided while the context ended
}

// tick looks at the waiting requests until none is left.
func (g *Gate) tick() {
	ticker := time.NewTicker(gatePeriod)
	defer ticker.Stop()
	for range ticker.C {
		g.mutex.Lock()
		g.turn()
		if len(g.waiting) == 0 {
			g.ticking = false
			g.mutex.Unlock()
			return
		}
		g.mutex.Unlock()
	}
}

func (g *Gate) turn() {
	if len(g.waiting) == 0 {
		return
	}
	for _, v := range g.Pool.Turn(g.Clock()) {
		g.waiting[v.Ask] <- v
		delete(g.waiting, v.Ask)
	}
}

// Began notes the first event of a run's answer.
func (g *Gate) Began(r *pool.Run) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Pool.Began(g.Clock(), r)
	g.turn()
}

// Ended notes the end of a run.
func (g *Gate) Ended(r *pool.Run, result pool.Result) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.Pool.Ended(g.Clock(), r, result)
	g.turn()
}
