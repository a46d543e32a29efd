package front

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"net/http"
	"strconv"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

const (
	// renewAfter is the age from which a permission to run is renewed before it is used.
	renewAfter = fleet.KeyRunLifetime / 2
	// homeReplacementWait is how long a request waits for a lost key home to be replaced. It covers the expiry of the leases and the start of the new home.
	homeReplacementWait = 4 * time.Second
)

// runKeyed serves a non-idempotent request with a key, after asking the key's home for permission.
func (c *call) runKeyed(ctx context.Context) error {
	if _, ok := keys.Timestamp(c.key); !ok {
		refusal := c.newRefusal(fleet.ReasonKeyInvalid, "the idempotency key must be a UUIDv7")
		refusal.NotRun = true // no router forwards a request with such a key
		return refusal
	}
	if done, err := c.openKey(ctx); done || err != nil {
		return err
	}
	defer c.closeKey()
	return c.run(ctx)
}

// openKey asks the key's home for permission to run. It reports true if it replayed a recorded answer.
func (c *call) openKey(ctx context.Context) (bool, error) {
	a, err := c.queryHome(ctx)
	if err != nil {
		return false, err
	}
	c.front.count("key." + a.Verdict.String())
	switch a.Verdict {
	case fleet.KeyRun:
		c.permitted = true
		return false, nil
	case fleet.KeyAnswered:
		return true, c.replay(a.Answer)
	}
	reason := a.Reason
	if reason == fleet.ReasonNone {
		reason = fleet.ReasonOutcomeUnknown
	}
	return false, c.newRefusal(reason, keyMessage(a.Verdict))
}

// queryHome queries the key's home until its answer is final or no other answer can arrive before the deadline.
func (c *call) queryHome(ctx context.Context) (fleet.KeyAnswer, error) {
	began := c.front.Clock()
	for {
		c.openedAt = c.front.Clock()
		a := c.front.OpenKey(ctx, c.team.Name, c.key, c.digest())
		wait, more := c.homeRetryDelay(began, a)
		if !more {
			return a, nil
		}
		c.front.count("key.held")
		c.note("waits", fleet.ReasonHeld, "", "key home may permit it to run later: "+a.Reason.String())
		if err := c.pause(ctx, wait); err != nil {
			return a, err
		}
	}
}

// homeRetryDelay returns the delay before the next query to the key's home, and false if the answer is final.
func (c *call) homeRetryDelay(began time.Duration, a fleet.KeyAnswer) (time.Duration, bool) {
	now := c.front.Clock()
	if a.Wait > 0 {
		wait := time.Duration(a.Wait) * time.Millisecond
		return wait, now+wait < c.deadline
	}
	lost := a.Reason == fleet.ReasonNoMajority || a.Reason == fleet.ReasonKeyHomeUnreachable
	return pauseAfterReturn, lost && now-began < homeReplacementWait && now+fleet.KeyRunLifetime < c.deadline
}

func keyMessage(v fleet.KeyVerdict) string {
	if v == fleet.KeyInProgress {
		return "another try with this key is in progress; this try was not sent"
	}
	return "this try was not sent; whether an earlier try with this key ran is not known"
}

// renewPermission renews a permission to run that is too old to use. It returns the unused grant if the request ends here.
func (c *call) renewPermission(ctx context.Context, v entry.Verdict) (bool, error) {
	if !c.keyed() || c.front.Clock()-c.openedAt < renewAfter {
		return false, nil
	}
	c.closeKey()
	done, err := c.openKey(ctx)
	if done || err != nil {
		c.front.Finish(v, fleet.Done{Grant: v.Grant.ID, Outcome: fleet.OutcomeReturned})
	}
	return done, err
}

// closeKey reports the outcome of the request to the key's home, if the home had permitted it to run.
func (c *call) closeKey() {
	if !c.permitted {
		return
	}
	c.permitted = false
	end := fleet.KeyClose{Team: c.team.Name, Key: c.key, Outcome: fleet.KeyRefused}
	switch {
	case c.record.Status != 0:
		end.Outcome, end.Answer = fleet.KeyAnswered, c.record
	case c.mayHaveRun:
		end.Outcome = fleet.KeyUnknown
	}
	c.front.CloseKey(end)
}

// digest returns a hash that distinguishes different requests with the same key.
func (c *call) digest() uint64 {
	h := fnv.New64a()
	for _, part := range []string{c.request.Method, c.product.Name, c.target} {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		h.Write(size[:])
		h.Write([]byte(part))
	}
	h.Write(c.body)
	return h.Sum64()
}

// replay writes the answer that was recorded when the request ran.
func (c *call) replay(a fleet.Answer) error {
	if a.Truncated {
		return &Refusal{
			Reason: fleet.ReasonBodyTooLarge, Outcome: outcomeCompleted,
			Message: fmt.Sprintf("the request ran and was answered with status %d; the answer was too long to keep or encoded", a.Status),
		}
	}
	h := c.writer.Header()
	if a.ContentType != "" {
		h.Set("Content-Type", a.ContentType)
	}
	h.Set(headerReplay, "true")
	if a.Status != http.StatusNoContent {
		h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	}
	c.extendWriteDeadline()
	c.headerWritten = true
	c.writer.WriteHeader(a.Status)
	_, _ = c.writer.Write(a.Body) // the record is kept, so a caller that did not receive the answer can ask again
	c.front.count("answered")
	c.note("answered", fleet.ReasonNone, "", "recorded answer")
	return nil
}
