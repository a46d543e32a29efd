package pool

import (
	"testing"
	"time"
)

// TestRewoundPlatform guards against servers and evacuations that are lost at once since the platform came back from a copy that lacks them (LOST, EVAC), and
// against servers that left and get work again since the copy still lists them (DRAIN).
func TestRewoundPlatform(t *testing.T) {
	const back = 20 * time.Second
	draining := func(s Server) Server {
		s.Draining = true
		return s
	}
	for name, d := range map[string]struct {
		before  func(p *Pool)
		copied  []Server // servers in the copy
		out     bool     // the copy lists the data centre as out of service
		after   func(p *Pool)
		at      time.Duration // since the return
		serving bool
		known   bool
	}{
		"in the copy":                         {copied: []Server{server("a")}, serving: true, known: true},
		"not in the copy":                     {at: time.Second, serving: true, known: true},
		"not in the copy, for long":           {at: lapseGrace},
		"written again":                       {after: func(p *Pool) { p.SetServer(back+time.Second, server("a")) }, at: 2 * lapseGrace, serving: true, known: true},
		"removed again":                       {after: func(p *Pool) { p.RemoveServer(back+time.Second, "a") }, at: time.Second},
		"left before":                         {before: func(p *Pool) { p.RemoveServer(back-3*time.Second, "a") }, copied: []Server{server("a")}, at: 2 * time.Second, known: true},
		"left before, and is still there":     {before: func(p *Pool) { p.RemoveServer(back-3*time.Second, "a") }, copied: []Server{server("a")}, at: heldGrace, serving: true, known: true},
		"left before, and its entry goes":     {before: func(p *Pool) { p.RemoveServer(back-3*time.Second, "a") }, copied: []Server{server("a")}, after: func(p *Pool) { p.RemoveServer(back+time.Second, "a") }, at: time.Second},
		"left before, and writes again":       {before: func(p *Pool) { p.RemoveServer(back-3*time.Second, "a") }, copied: []Server{server("a")}, after: func(p *Pool) { p.SetServer(back+time.Second, server("a")) }, at: time.Second, serving: true, known: true},
		"left before, and is a new start":     {before: func(p *Pool) { p.RemoveServer(back-3*time.Second, "a") }, copied: []Server{{ID: "a", Service: "chat", Address: "10.0.0.1:80", DataCentre: "east", Slots: 8, StartMillis: 7}}, serving: true, known: true},
		"drained before":                      {before: func(p *Pool) { p.SetServer(back-time.Second, draining(server("a"))) }, copied: []Server{server("a")}, at: time.Second, known: true},
		"drained before, and drains again":    {before: func(p *Pool) { p.SetServer(back-time.Second, draining(server("a"))) }, copied: []Server{server("a")}, after: func(p *Pool) { p.SetServer(back+time.Second, draining(server("a"))) }, at: 2 * heldGrace, known: true},
		"evacuated before":                    {before: func(p *Pool) { p.SetOutOfService(back-time.Second, map[string]bool{"east": true}) }, copied: []Server{server("a")}, at: time.Second, known: true},
		"evacuated before, and for long":      {before: func(p *Pool) { p.SetOutOfService(back-time.Second, map[string]bool{"east": true}) }, copied: []Server{server("a")}, at: lapseGrace, serving: true, known: true},
		"evacuated before and again":          {before: func(p *Pool) { p.SetOutOfService(back-time.Second, map[string]bool{"east": true}) }, copied: []Server{server("a")}, after: func(p *Pool) { p.SetOutOfService(back+time.Second, map[string]bool{"east": true}) }, at: 2 * lapseGrace, known: true},
		"evacuated before, and other changes": {before: func(p *Pool) { p.SetOutOfService(back-time.Second, map[string]bool{"east": true}) }, copied: []Server{server("a")}, after: func(p *Pool) { p.SetOutOfService(back+time.Second, nil) }, at: time.Second, known: true},
		"evacuated in the copy":               {copied: []Server{server("a")}, out: true, at: time.Second, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Pool{Self: "r1", DataCentre: "east"}
			p.SetServer(0, server("a"))
			p.ReadAnew(0, Coverage{})
			if d.before != nil {
				d.before(p)
			}
			p.Rewound()
			listed := map[string]bool{}
			for _, s := range d.copied {
				p.SetServer(back, s)
				listed[s.ID] = true
			}
			out := map[string]bool{}
			if d.out {
				out["east"] = true
			}
			p.SetOutOfService(back, out)
			for _, id := range p.Servers() {
				if !listed[id] {
					p.RemoveServer(back, id)
				}
			}
			p.ReadAnew(back, Coverage{})
			if d.after != nil {
				d.after(p)
			}
			p.SourceBack(back + d.at)
			if got := len(p.Servers()) == 1; got != d.known {
				t.Errorf("known: %t, want %t", got, d.known)
			}
			if got := p.Serving(); got != d.serving {
				t.Errorf("serving: %t, want %t", got, d.serving)
			}
		})
	}
}
