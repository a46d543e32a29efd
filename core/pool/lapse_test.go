package pool

import (
	"slices"
	"testing"
	"time"
)

// TestLapsedEntries checks that a server whose entry lapses during an outage is kept for a grace period, as it may be alive,
// and that a server whose entry is removed later is not.
func TestLapsedEntries(t *testing.T) {
	const back = 10 * time.Second
	tests := map[string]struct {
		events func(p *Pool)
		at     time.Duration
		want   bool
	}{
		"went during the outage": {
			events: func(p *Pool) { p.RemoveServer(back, "a"); p.SourceBack(back) },
			at:     back + time.Second, want: true,
		},
		"went during the outage and did not come back": {
			events: func(p *Pool) { p.RemoveServer(back, "a"); p.SourceBack(back) },
			at:     back + lapseGrace,
		},
		"came back": {
			events: func(p *Pool) {
				p.RemoveServer(back, "a")
				p.SourceBack(back)
				p.SetServer(back+time.Second, server("a"))
			},
			at: back + 2*lapseGrace, want: true,
		},
		"leaves right after the outage": {
			events: func(p *Pool) { p.SourceBack(back); p.RemoveServer(back+time.Second, "a") },
			at:     back + time.Second,
		},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: "r1", DataCentre: "east"}
			p.SetServer(0, server("a"))
			p.SourceLost(time.Second)
			c.events(p)
			p.SourceBack(c.at)
			if got := len(p.Servers()) == 1; got != c.want {
				t.Errorf("known: %t, want %t", got, c.want)
			}
		})
	}
}

func server(id string) Server {
	return Server{ID: id, Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 8}
}

// TestUnknownServiceTakesNoAddress guards against an odd entry that removes a sound server by its address.
func TestUnknownServiceTakesNoAddress(t *testing.T) {
	for name, d := range map[string]struct {
		service string
		want    []string
	}{
		"of no service":       {"ghost", []string{"a", "odd"}},
		"of the same service": {"chat", []string{"odd"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := versionPool("v1")
			odd := versionServer(0, "v1")
			odd.ID, odd.Service = "odd", d.service
			p.SetServer(time.Second, odd)
			got := p.Servers()
			slices.Sort(got)
			if !slices.Equal(got, d.want) {
				t.Errorf("servers %v, want %v", got, d.want)
			}
		})
	}
}
