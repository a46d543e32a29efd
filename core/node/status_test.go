package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/member"
	"mangolug.org/core/report"
)

const products = 8

// newSchedulingNode returns a router that schedules every product, each with one server and one waiting request
// of the team joiners.
func newSchedulingNode(t *testing.T) (n *Node, step func(events ...Event) []Effect) {
	t.Helper()
	n = &Node{Start: Start{Self: "r0", DataCentre: "clew", Incarnation: 1}}
	now := time.Duration(0)
	step = func(events ...Event) []Effect {
		now += 100 * ms
		return n.Step(now, time.Unix(1_700_000_000, 0).Add(now), events)
	}
	text := "dataCentre clew in # test\nteam joiners share 1 key sha256:" + strings.Repeat("0", 64) + " # test\n"
	for i := range products {
		text += fmt.Sprintf("product p%d model # test\nserver s%d product p%d dataCentre clew address 127.0.0.1:%d limit 8 # test\n", i, i, i, 9000+i)
	}
	vms := []fleet.VM{{Name: "r0", Router: true, DataCentre: "clew"}, {Name: "r1", Address: "peer:r1", Router: true, DataCentre: "clew"}}
	step(Event{VMList: &VMList{VMs: vms}}, Event{Offer: &Offer{Version: 1, Text: []byte(text)}}, Event{ConfigPolled: &ConfigPolled{}})
	for range 50 {
		step()
	}
	if n.NotReadyReason() != fleet.ReasonNone {
		t.Fatalf("not ready: %v", n.NotReadyReason())
	}
	for i := range products {
		product := fmt.Sprintf("p%d", i)
		step(Event{Admit: &entry.Request{ID: product, Team: "joiners", Product: product, Deadline: time.Hour}})
	}
	return n, step
}

func TestLoweredLimitIsReported(t *testing.T) {
	n, step := newSchedulingNode(t)
	counters := map[string]int{}
	n.Count = func(name string) { counters[name]++ }
	var notices []Notice
	for epoch := range uint64(2) {
		load := fleet.Load{Server: "s3", Epoch: epoch + 1, Running: 5}
		for _, e := range step(Event{Load: &Load{Cell: fleet.Cell{Product: "p3"}, Report: load}}) {
			if e.Notice != nil {
				notices = append(notices, *e.Notice)
			}
		}
	}
	if len(notices) != 1 || notices[0].Server != "s3" || notices[0].Reason != "restarted" || notices[0].PreviousLimit != 5 || notices[0].Limit != 1 {
		t.Errorf("notices %+v", notices)
	}
	if counters["limitLowered.restarted"] != 1 {
		t.Errorf("counters %v", counters)
	}
}

// TestTeamLeavesOutFormerCells brings in a second router, which takes over some cells. The explanation of a team
// must then leave those out.
func TestTeamLeavesOutFormerCells(t *testing.T) {
	n, step := newSchedulingNode(t)
	view := []uint32{member.Hash("r0"), member.Hash("r1")}
	slices.Sort(view)
	step(Event{PeerConnected: &PeerConnected{Peer: "r1"}})
	for range 100 {
		at := n.now.Milliseconds()
		step(Event{Received: &Received{From: "r1", Message: fleet.Message{
			Incarnation: 9, Stamp: at, Echo: at, Echoed: n.Start.Incarnation, Heartbeat: &fleet.Heartbeat{View: view, ViewAge: at, ConfigVersion: 1},
		}}})
	}
	scheduled := n.Status().Cells
	if len(scheduled) == 0 || len(scheduled) == products {
		t.Fatalf("%d of %d cells are scheduled here", len(scheduled), products)
	}
	for _, c := range n.ExplainTeam("joiners").Cells {
		if !slices.ContainsFunc(scheduled, func(o report.Cell) bool { return o.Cell == c.Cell }) {
			t.Errorf("cell %s is reported but scheduled elsewhere", c.Cell)
		}
	}
}
