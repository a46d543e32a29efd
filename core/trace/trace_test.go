package trace

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
)

const rules = `dataCentre lahore in # for the tests
product stain-llm model # for the tests
server stain-1 product stain-llm dataCentre lahore address 127.0.0.1:9101 limit 3 # for the tests
team joiners share 1 key sha256:ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad # for the tests
`

// record runs a single router with three requests for two slots and returns its trace.
func record(t *testing.T) string {
	t.Helper()
	var out bytes.Buffer
	w := &Writer{Out: &out}
	start := node.Start{Self: "lahore-1", DataCentre: "lahore", Incarnation: 7}
	if err := w.Begin(Header{Start: start}); err != nil {
		t.Fatal(err)
	}
	state := &node.Node{Start: start}
	now := time.Millisecond
	step := func(events ...node.Event) {
		s := Step{Now: now, Wall: int64(now), Events: events}
		s.Effects = state.Step(now, time.Unix(0, s.Wall), events)
		if err := w.Add(&s); err != nil {
			t.Fatal(err)
		}
		now += 50 * time.Millisecond
	}
	step(node.Event{VMList: &node.VMList{VMs: []fleet.VM{{Name: "lahore-1", DataCentre: "lahore", Router: true}}}},
		node.Event{Offer: &node.Offer{Version: 1, Text: []byte(rules)}}, node.Event{ConfigPolled: &node.ConfigPolled{}})
	for now < 2*time.Second {
		step()
	}
	cell := fleet.Cell{Product: "stain-llm"}
	step(node.Event{Load: &node.Load{Cell: cell, Report: fleet.Load{Server: "stain-1", Epoch: 1, Limit: 2}}})
	for _, id := range []string{"a", "b", "c"} {
		step(node.Event{Admit: &entry.Request{ID: id, Team: "joiners", Product: "stain-llm", Estimate: 10, Deadline: time.Minute}})
	}
	return out.String()
}

func TestReplay(t *testing.T) {
	trace := record(t)
	if !strings.Contains(trace, `"reason":"granted"`) {
		t.Fatalf("no request was granted in\n%s", trace)
	}
	cases := map[string]struct {
		trace string
		check func(error) bool
	}{
		"the same":     {trace, func(err error) bool { return err == nil }},
		"other effect": {strings.Replace(trace, `"server":"stain-1","address"`, `"server":"stain-2","address"`, 1), isDifference},
		"lost event":   {strings.Replace(trace, `"admit":{"id":"a"`, `"admit":{"id":"z"`, 1), isDifference},
		"other version": {strings.Replace(trace, `"version":1`, `"version":2`, 1), func(err error) bool {
			var wrong *VersionError
			return errors.As(err, &wrong) && wrong.Version == 2
		}},
		"not a trace": {"{", func(err error) bool { return err != nil }},
		"empty":       {"", func(err error) bool { return err != nil }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if _, err := Replay(strings.NewReader(c.trace)); !c.check(err) {
				t.Errorf("got %v", err)
			}
		})
	}
}

func isDifference(err error) bool {
	var d *DifferenceError
	return errors.As(err, &d) && d.Line > 1
}
