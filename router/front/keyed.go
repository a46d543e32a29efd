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
	// renewAfter is the age at which a permission to run is asked for anew before it is used.
	renewAfter = fleet.KeyRunLifetime / 2
	// homeWait is how long a request waits for its key's lost home to be replaced: for the leases to lapse and the new home to settle.
	homeWait = 4 * time.Second
)

// runKeyed sees a non-idempotent request with a key through; its home is asked first.
func (c *call) runKeyed(ctx context.Context) error {
	if _, ok := keys.Timestamp(c.key); !ok {
		refusal := c.turnDown(fleet.ReasonKeyInvalid, "the idempotency key must be a UUIDv7")
		refusal.NotRun = true // no router sends a request with such a key
		return refusal
	}
	if done, err := c.openKey(ctx); done || err != nil {
		return err
	}
	defer c.closeKey()
	return c.run(ctx)
}

// openKey asks the key's home; it reports true when the recorded answer was given.
func (c *call) openKey(ctx context.Context) (bool, error) {
	a, err := c.askHome(ctx)
	if err != nil {
		return false, err
	}
	c.front.count("key." + a.Verdict.String())
	switch a.Verdict {
	case fleet.KeyRun:
		c.vouched = true
		return false, nil
	case fleet.KeyAnswered:
		return true, c.replay(a.Answer)
	}
	reason := a.Reason
	if reason == fleet.ReasonNone {
		reason = fleet.ReasonOutcomeUnknown
	}
	return false, c.turnDown(reason, keyMessage(a.Verdict))
}

// askHome asks the key's home until it decides, as long as another answer may come before the deadline.
func (c *call) askHome(ctx context.Context) (fleet.KeyAnswer, error) {
	began := c.front.Clock()
	for {
		c.asked = c.front.Clock()
		a := c.front.OpenKey(ctx, c.team.Name, c.key, c.digest())
		wait, more := c.homeLater(began, a)
		if !more {
			return a, nil
		}
		c.front.count("key.held")
		c.note("waits", fleet.ReasonHeld, "", "the key's home may let it run later: "+a.Reason.String())
		if err := c.pause(ctx, wait); err != nil {
			return a, err
		}
	}
}

// homeLater says when to ask a key's home again, and false when its answer stands.
func (c *call) homeLater(began time.Duration, a fleet.KeyAnswer) (time.Duration, bool) {
	now := c.front.Clock()
	if a.Wait > 0 {
		wait := time.Duration(a.Wait) * time.Millisecond
		return wait, now+wait < c.deadline
	}
	lost := a.Reason == fleet.ReasonNoMajority || a.Reason == fleet.ReasonKeyHomeUnreachable
	return pauseAfterReturn, lost && now-began < homeWait && now+fleet.KeyRunLifetime < c.deadline
}

func keyMessage(v fleet.KeyVerdict) string {
	if v == fleet.KeyInProgress {
		return "another try with this key is in progress; this try was not sent"
	}
	return "this try was not sent; whether an earlier try with this key ran is not known"
}

// renew makes sure that the permission to run is young enough to be used.
func (c *call) renew(ctx context.Context, v entry.Verdict) (bool, error) {
	if !c.keyed() || c.front.Clock()-c.asked < renewAfter {
		return false, nil
	}
	c.closeKey()
	done, err := c.openKey(ctx)
	if done || err != nil {
		c.front.Finish(v, fleet.Done{Grant: v.Grant.ID, Outcome: fleet.OutcomeReturned})
	}
	return done, err
}

// closeKey tells the home how the request ended, if the home had permitted it.
func (c *call) closeKey() {
	if !c.vouched {
		return
	}
	c.vouched = false
	end := fleet.KeyClose{Team: c.team.Name, Key: c.key, Outcome: fleet.KeyRefused}
	switch {
	case c.record.Status != 0:
		end.Outcome, end.Answer = fleet.KeyAnswered, c.record
	case c.sent:
		end.Outcome = fleet.KeyUnknown
	}
	c.front.CloseKey(end)
}

// digest tells requests under one key apart.
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

// replay gives the caller the answer that was recorded when the request ran.
func (c *call) replay(a fleet.Answer) error {
	if a.Truncated {
		return &Refusal{
			Reason: fleet.ReasonBodyTooLarge, Outcome: outcomeCompleted,
			Message: fmt.Sprintf("the request ran and was answered with status %d; the answer was too long to keep", a.Status),
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
	c.extend()
	c.written = true
	c.writer.WriteHeader(a.Status)
	_, _ = c.writer.Write(a.Body) // the record stays, so a caller that lost it asks again
	c.front.count("answered")
	c.note("answered", fleet.ReasonNone, "", "recorded answer")
	return nil
}
