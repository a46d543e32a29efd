package batch

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

// RefusedError is returned when the engine rejects a request before running it.
type RefusedError struct {
	Reason string // full, restarting, left or staleTerm
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string { return "not run: " + e.Reason }

var errRestarted = errors.New("engine restarted")

// call is one admitted request.
type call struct {
	engine *Engine
	run    *Run
	life   context.Context
	slot   chan struct{} // closed when the call gets a slot; nil if it had one at once
}

// admit admits a request or returns a RefusedError.
func (e *Engine) admit(run Run, term uint64) (*call, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start()
	now := time.Now()
	run.ArrivedAt = now.UnixMilli()
	if reason := e.rejectReason(now, term); reason != "" {
		e.record.Refusals = append(e.record.Refusals, Refusal{RequestID: run.RequestID, AttemptID: run.AttemptID, Reason: reason, ArrivedAt: run.ArrivedAt})
		return nil, &RefusedError{Reason: reason}
	}
	e.term = max(e.term, term)
	run.State = "waiting"
	c := &call{engine: e, run: &run, life: e.lifetime}
	e.runs = append(e.runs, c.run)
	if e.running < e.Limit {
		e.running++
		c.markRunning()
	} else {
		c.slot = make(chan struct{})
		e.queue = append(e.queue, c.slot)
	}
	e.recordLoad()
	if e.cold && e.open() > 2*e.capacity() {
		e.record.Crashes++
		e.restart()
	}
	return c, nil
}

func (e *Engine) rejectReason(now time.Time, term uint64) string {
	switch {
	case e.Fencing && term < e.term:
		return "staleTerm"
	case e.record.LeftAt != 0:
		return "left"
	case now.Before(e.readyAt):
		return "restarting"
	case e.open() >= e.Limit+e.Queue:
		return "full"
	}
	return ""
}

// markRunning marks the call as running; the caller holds the mutex.
func (c *call) markRunning() { c.run.State, c.run.Began = "running", true }

// waitForSlot blocks until the call has a slot.
func (c *call) waitForSlot(ctx context.Context) error {
	if c.slot == nil {
		return nil
	}
	select {
	case <-c.slot:
	case <-ctx.Done():
		return ctx.Err()
	case <-c.life.Done():
		return errRestarted
	}
	c.engine.mutex.Lock()
	defer c.engine.mutex.Unlock()
	c.markRunning()
	return nil
}

// prefill waits for the prefill time of the prompt tokens that are not cached.
func (c *call) prefill(ctx context.Context, prompt string) error {
	e := c.engine
	e.mutex.Lock()
	hit := e.prefixes.use(prompt)
	c.run.PromptTokens = PromptTokens(prompt)
	c.run.CachedTokens = hit / bytesPerToken
	missing := c.run.PromptTokens - c.run.CachedTokens
	e.mutex.Unlock()
	return c.sleep(ctx, time.Duration(missing)*e.PrefillTime)
}

// step waits for the time of one token at the current batch size.
func (c *call) step(ctx context.Context) error {
	e := c.engine
	e.mutex.Lock()
	others := max(e.running-1, 0)
	e.mutex.Unlock()
	factor := 1 + e.Growth*float64(others)
	if err := c.sleep(ctx, time.Duration(float64(e.TokenTime)*factor)); err != nil {
		return err
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	c.run.Tokens++
	return nil
}

// sleep waits for d, and then until the engine is no longer stalled.
func (c *call) sleep(ctx context.Context, d time.Duration) error {
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

// end records the outcome of the call and passes its slot to the next in the queue.
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
	if !e.leaveQueue(c.slot) {
		e.release()
	}
	e.recordLoad()
}

// leaveQueue removes a waiting call from the queue and reports whether it was queued; the caller holds the mutex.
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

// release passes a slot to the first call in the queue, or frees it; the caller holds the mutex.
func (e *Engine) release() {
	if len(e.queue) == 0 || e.running > e.Limit {
		e.running--
		return
	}
	next := e.queue[0]
	e.queue = e.queue[1:]
	close(next)
}
