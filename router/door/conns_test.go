package door

import (
	"net"
	"net/http"
	"testing"
	"time"
)

func TestIdleFor(t *testing.T) {
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	cases := map[string]struct {
		states []http.ConnState // of a
		length time.Duration
		quiet  bool
	}{
		"no connection":   {nil, time.Hour, true},
		"serves":          {[]http.ConnState{http.StateNew, http.StateActive}, 0, false},
		"just idle":       {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, time.Hour, false},
		"long idle":       {[]http.ConnState{http.StateNew, http.StateActive, http.StateIdle}, 0, true},
		"closed":          {[]http.ConnState{http.StateNew, http.StateActive, http.StateClosed}, time.Hour, true},
		"never used, new": {[]http.ConnState{http.StateNew}, time.Hour, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var conns ConnTracker
			for _, s := range c.states {
				conns.TrackState(a, s)
			}
			if got := conns.idleFor(c.length); got != c.quiet {
				t.Errorf("quiet %v, want %v", got, c.quiet)
			}
		})
	}
}
