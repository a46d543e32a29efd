package status

import (
	"strings"
	"testing"

	"mangolug.org/core/report"
)

func TestNotReady(t *testing.T) {
	self := report.Peer{Name: "r1", Live: true}
	cases := map[string]struct {
		status report.Status
		why    string // a substring of the reason; empty if the router has none
	}{
		"ready":       {report.Status{Ready: true}, ""},
		"draining":    {report.Status{Draining: true}, ""},
		"no list":     {report.Status{}, "no list"},
		"alone":       {report.Status{Peers: []report.Peer{self, {Name: "r2"}}}, "hears no peer"},
		"no rules":    {report.Status{Peers: []report.Peer{self, {Name: "r2", Live: true}}}, "neither"},
		"older rules": {report.Status{ConfigVersion: 3, Peers: []report.Peer{self, {Name: "r2", Live: true, ConfigVersion: 4}}}, "has configuration 4, it has 3"},
		"one router":  {report.Status{ConfigVersion: 3, Peers: []report.Peer{self}}, "just now"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.status.Router = "r1"
			if got := notReadyReason(c.status); !strings.Contains(got, c.why) || (got == "") != (c.why == "") {
				t.Errorf("got %q, want %q in it", got, c.why)
			}
		})
	}
}
