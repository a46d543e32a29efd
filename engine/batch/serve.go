package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// RefusedError says that a request did not begin, and why.
type RefusedError struct {
	Reason string // full, restarting, left or staleTerm
}

// Error names the reason.
func (e *RefusedError) Error() string { return "not run: " + e.Reason }

var errRestarted = errors.New("the engine restarted")

// call is one request in the engine.
type call struct {
	engine *Engine
	run    *Run
	life   context.Context
	served chan struct{} // nil while it waits for no slot
}

// admit takes a request in, or gives a RefusedError.
func (e *Engine) admit(run Run, term uint64) (*call, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start()
	now := time.Now()
	run.ArrivedAt = now.UnixMilli()
	if reason := e.refusal(now, term); reason != "" {
		e.record.Refusals = append(e.record.Refusals, Refusal{RequestID: run.RequestID, AttemptID: run.AttemptID, Reason: reason, ArrivedAt: run.ArrivedAt})
		return nil, &RefusedError{Reason: reason}
	}
	e.term = max(e.term, term)
	run.State = "waiting"
	c := &call{engine: e, run: &run, life: e.life}
	e.runs = append(e.runs, c.run)
	if e.running < e.Limit {
		e.running++
		c.begin()
	} else {
		c.served = make(chan struct{})
		e.queue = append(e.queue, c.served)
	}
	e.sample()
	if e.cold && e.open() > 2*e.capacity() {
		e.record.Falls++
		e.restart()
	}
	return c, nil
}

func (e *Engine) refusal(now time.Time, term uint64) string {
	switch {
	case e.Fencing && term < e.term:
		return "staleTerm"
	case e.record.LeftAt != 0:
		return "left"
	case now.Before(e.upAt):
		return "restarting"
	case e.open() >= e.Limit+e.Queue:
		return "full"
	}
	return ""
}

// begin marks a call as served; the caller holds the mutex.
func (c *call) begin() { c.run.State, c.run.Began = "running", true }

// wait blocks until the call is served.
func (c *call) wait(ctx context.Context) error {
	if c.served == nil {
		return nil
	}
	select {
	case <-c.served:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.life.Done():
		return errRestarted
	}
	c.engine.mutex.Lock()
	defer c.engine.mutex.Unlock()
	c.begin()
	return nil
}

// prefill spends the time for the prompt's part that is not in the cache.
func (c *call) prefill(ctx context.Context, prompt string) error {
	e := c.engine
	e.mutex.Lock()
	hit := e.prefixes.use(prompt)
	c.run.PromptTokens = PromptTokens(prompt)
	c.run.CachedTokens = hit / bytesPerToken
	missing := c.run.PromptTokens - c.run.CachedTokens
	e.mutex.Unlock()
	return c.spend(ctx, time.Duration(missing)*e.PrefillTime)
}

// step spends the time of one token in the batch as it is now.
func (c *call) step(ctx context.Context) error {
	e := c.engine
	e.mutex.Lock()
	others := max(e.running-1, 0)
	e.mutex.Unlock()
	factor := 1 + e.Growth*float64(others)
	if err := c.spend(ctx, time.Duration(float64(e.TokenTime)*factor)); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c.run.Tokens++
	return nil
}

// spend waits for a time, and for as long as the engine is stalled.
func (c *call) spend(ctx context.Context, d time.Duration) error {
	e := c.engine
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.life.Done():
		return errRestarted
	}
	e.mutex.Lock()
	stalled := e.stalled
	e.mutex.Unlock()
	if stalled == nil {
		return nil
	}
	select {
	case <-stalled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-c.life.Done():
		return errRestarted
	}
}

// end frees the call's slot for the next in the queue.
func (c *call) end(err error) {
	e := c.engine
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c.run.EndedAt = time.Now().UnixMilli()
	switch {
	case err == nil:
		c.run.State = "completed"
		e.completed++
	case errors.Is(err, context.Canceled):
		c.run.State = "cancelled"
	default:
		c.run.State = "failed"
	}
	if !e.leaveQueue(c.served) {
		e.release()
	}
	e.sample()
}

// leaveQueue takes a waiting call out and says whether it was there; the caller holds the mutex.
func (e *Engine) leaveQueue(served chan struct{}) bool {
	if served == nil {
		return false
	}
	for i, s := range e.queue {
		if s == served {
			e.queue = append(e.queue[:i], e.queue[i+1:]...)
			return true
		}
	}
	return false
}

// release gives a slot to the first in the queue; the caller holds the mutex.
func (e *Engine) release() {
	if len(e.queue) == 0 || e.running > e.Limit {
		e.running--
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	close(next)
}
