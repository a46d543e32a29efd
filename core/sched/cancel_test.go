package sched

import (
	"testing"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

// TestCancelledGrantKeepsItsSlot requires that the slot of a cancelled request is not granted again before its
// server can have noticed the disconnect.
func TestCancelledGrantKeepsItsSlot(t *testing.T) {
	cases := map[string]struct {
		outcome fleet.Outcome
		after   time.Duration
		grants  int
	}{
		"completed, at once":     {fleet.OutcomeCompleted, 0, 1},
		"returned, at once":      {fleet.OutcomeReturned, 0, 1},
		"cancelled, at once":     {fleet.OutcomeCancelled, 0, 0},
		"cancelled, just before": {fleet.OutcomeCancelled, cancelGrace - time.Millisecond, 0},
		"cancelled, after":       {fleet.OutcomeCancelled, cancelGrace, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newScheduler([]rule.Server{{Name: "killary-1", DataCentre: "killary", Address: "127.0.0.1:1", Limit: 1}}, "r1")
			s.ReceiveDemand(0, "r1", "killary", 1, full(1, fleet.TeamDemand{Team: "skippers", Waiting: 2}))
			first := s.Next(0)
			if count(first) != 1 {
				t.Fatalf("%d grants before the request ended, want 1", count(first))
			}
			id := first[0].Grants.Grants[0].ID
			now := 20 * time.Millisecond
			s.ReceiveDemand(now, "r1", "killary", 20, fleet.Demand{
				Seq: 2, SeenTerm: term, Seen: id, Done: []fleet.Done{{Grant: id, Outcome: c.outcome, Cost: 5}},
				Waiting: []fleet.TeamDemand{{Team: "skippers", Waiting: 1}},
			})
			got := count(s.Next(now))
			if c.after > 0 {
				now += c.after
				s.UpdateBasis(now, "r1", now.Milliseconds())
				got += count(s.Next(now))
			}
			if got != c.grants {
				t.Errorf("%d grants, want %d", got, c.grants)
			}
			if at, due := s.NextWake(); c.after == 0 && c.grants == 0 && (!due || at > now+cancelGrace) {
				t.Errorf("Wake returned %v, %v", at, due)
			}
		})
	}
}
