package node

import (
	"testing"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
)

// TestLatePermissions checks that a permission is not used once its home may have been succeeded by another.
func TestLatePermissions(t *testing.T) {
	key := "01a31893-704c-7000-8000-000000000063"
	slot := keys.Slot("farm", key)
	run := fleet.KeyAnswer{Ticket: 7, Verdict: fleet.KeyRun, Reason: fleet.ReasonGranted}
	kept := &fleet.KeyCopy{Record: fleet.KeyRecord{Ticket: 7}, Done: true, Kept: true}
	tests := map[string]struct {
		open  pendingOpen
		steps func(n *Node)
		used  bool
	}{
		"at once":                 {pendingOpen{home: "router-2"}, func(n *Node) { n.receiveKeyAnswer(run, "router-2") }, true},
		"from a router not asked": {pendingOpen{home: "router-2"}, func(n *Node) { n.receiveKeyAnswer(run, "router-3") }, false},
		"after the next home's recall": {pendingOpen{home: "router-2"}, func(n *Node) {
			n.answerRecall("router-3", fleet.KeyRecall{Slot: slot, Number: 1})
			n.receiveKeyAnswer(run, "router-2")
		}, false},
		"after a recall of another slot": {pendingOpen{home: "router-2"}, func(n *Node) {
			n.answerRecall("router-3", fleet.KeyRecall{Slot: (slot + 1) % keys.Slots, Number: 1})
			n.receiveKeyAnswer(run, "router-2")
		}, true},
		"after the home's own recall": {pendingOpen{home: "router-2"}, func(n *Node) {
			n.answerRecall("router-2", fleet.KeyRecall{Slot: slot, Number: 1})
			n.receiveKeyAnswer(run, "router-2")
		}, true},
		"with another try on record": {pendingOpen{home: "router-2"}, func(n *Node) {
			n.storeCopy("router-3", &fleet.KeyCopy{Record: fleet.KeyRecord{Team: "farm", Key: key, Ticket: 3}})
			n.receiveKeyAnswer(run, "router-2")
		}, false},
		"witnessed after the hold": {pendingOpen{home: "router-1", witness: "router-2"}, func(n *Node) { n.receiveCopyAnswer("router-2", kept) }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := &Node{Start: Start{Self: "router-1"}}
			n.Step(time.Second, epoch, nil)
			o := tt.open
			o.deadline, o.open = n.now+fleet.KeyRunLifetime, fleet.KeyOpen{Ticket: 7, Team: "farm", Key: key}
			n.pendingOpens[7] = o
			tt.steps(n)
			used := false
			for _, e := range n.effects {
				used = used || e.Key != nil && e.Key.Answer.Verdict == fleet.KeyRun
			}
			if used != tt.used {
				t.Errorf("used: %v, want %v", used, tt.used)
			}
		})
	}
}

// TestRecallCompleteSince tests recallCompleteSince, the time since which all routers but one remember their part.
func TestRecallCompleteSince(t *testing.T) {
	at := func(seconds int) fleet.KeyHandover {
		return fleet.KeyHandover{Since: epoch.Add(time.Duration(seconds) * time.Second).UnixMilli()}
	}
	tests := map[string]struct {
		answers  map[string]fleet.KeyHandover
		since    int // seconds after the epoch
		complete bool
	}{
		"nobody answered":                          {nil, 20, false},
		"two are missing":                          {map[string]fleet.KeyHandover{"router-2": at(5)}, 20, false},
		"one is missing":                           {map[string]fleet.KeyHandover{"router-2": at(5), "router-3": at(30)}, 30, true},
		"one is missing, another started lately":   {map[string]fleet.KeyHandover{"router-2": at(5), "router-3": at(70)}, 70, false},
		"all answered, one of them started lately": {map[string]fleet.KeyHandover{"router-2": at(5), "router-3": at(30), "router-4": at(70)}, 30, true},
		"this one knows the least":                 {map[string]fleet.KeyHandover{"router-2": at(5), "router-3": at(6), "router-4": at(7)}, 20, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := &Node{Start: Start{Self: "router-1"}, wall: epoch.Add(time.Minute), memorySince: epoch, listChanged: epoch.Add(10 * time.Second)}
			n.listed = map[string]fleet.VM{"router-1": {}, "router-2": {}, "router-3": {}, "router-4": {}}
			since, complete := n.recallCompleteSince(tt.answers)
			if complete != tt.complete || !since.Equal(epoch.Add(time.Duration(tt.since)*time.Second)) {
				t.Errorf("since %v after the epoch, complete %v", since.Sub(epoch), complete)
			}
		})
	}
}
