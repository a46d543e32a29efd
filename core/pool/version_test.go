package pool

import (
	"math"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
	"mangolug.org/core/route"
)

// versionPool returns a pool with servers of the given versions, which all were read when the pool began to.
func versionPool(versions ...string) *Pool {
	p := &Pool{Self: "r", DataCentre: "d", Joined: true}
	p.Configure(route.NewTable(route.Config{Services: []route.Service{{Name: "chat", Model: true, Slots: 64}}}))
	for i, v := range versions {
		p.SetServer(0, versionServer(i, v))
	}
	p.ReadAnew(0, Coverage{})
	return p
}

func versionServer(i int, version string) Server {
	id := string(rune('a' + i))
	return Server{ID: id, Service: "chat", Address: "10.0.0.1:" + id, DataCentre: "d", Slots: 64, Version: version}
}

// end lets a server end under a request.
func end(p *Pool, id string) {
	r := &Run{Server: p.servers[id].Server, backend: p.servers[id], request: &Request{Service: "chat"}}
	p.observeBreak(0, r)
	p.UncheckedCrash(r)
	p.ConfirmCrash(0, r, true)
}

// TestSoleVersion guards against a router that takes the version it sees for the only one, though another was there when a stream began.
func TestSoleVersion(t *testing.T) {
	const window, now = 30 * time.Second, time.Minute
	for name, d := range map[string]struct {
		versions []string
		change   func(p *Pool)
		sole     bool
	}{
		"one version":                  {[]string{"v1", "v1"}, nil, true},
		"no version given":             {[]string{"", ""}, nil, true},
		"two versions":                 {[]string{"v1", "v2"}, nil, false},
		"one of them gives none":       {[]string{"v1", ""}, nil, false},
		"no servers":                   {nil, nil, false},
		"the other went just now":      {[]string{"v1", "v2"}, func(p *Pool) { p.RemoveServer(now-window/2, "b") }, false},
		"the other went long ago":      {[]string{"v1", "v2"}, func(p *Pool) { p.RemoveServer(now-2*window, "b") }, true},
		"its id has another version":   {[]string{"v1", "v1"}, func(p *Pool) { p.SetServer(now-window/2, versionServer(1, "v2")) }, false},
		"all have another version now": {[]string{"v1"}, func(p *Pool) { p.SetServer(now-window/2, versionServer(0, "v2")) }, false},
		"its address has another server": {[]string{"v1", "v1"}, func(p *Pool) {
			s := versionServer(1, "v2")
			s.ID = "z"
			p.SetServer(now-window/2, s)
		}, false},
		"the router began just now":     {[]string{"v1"}, func(p *Pool) { p.ReadAnew(now-window/2, Coverage{}) }, false},
		"nothing was missed before":     {[]string{"v1"}, func(p *Pool) { p.ReadAnew(now-window/2, Coverage{Before: window}) }, true},
		"something was, in that time":   {[]string{"v1"}, func(p *Pool) { p.ReadAnew(now-window/2, Coverage{Before: window / 4}) }, false},
		"nothing was missed ever":       {[]string{"v1"}, func(p *Pool) { p.ReadAnew(now, Coverage{Before: math.MaxInt64}) }, true},
		"another version is there":      {[]string{"v1", "v2"}, func(p *Pool) { p.ReadAnew(now, Coverage{Before: math.MaxInt64}) }, false},
		"entries may be written again":  {[]string{"v1"}, func(p *Pool) { p.ReadAnew(now-time.Second, Coverage{Before: math.MaxInt64, FromCopy: true}) }, false},
		"they had the time for it":      {[]string{"v1"}, func(p *Pool) { p.ReadAnew(now-3*time.Second, Coverage{Before: math.MaxInt64, FromCopy: true}) }, true},
		"nothing was missed since":      {[]string{"v1"}, func(p *Pool) { p.ReadAnew(now, Coverage{Continuous: true}) }, true},
		"one that left was missed":      {[]string{"v1", "v2"}, func(p *Pool) { p.RemoveServer(now, "b"); p.ReadAnew(now, Coverage{Continuous: true}) }, false},
		"the platform is out of reach":  {[]string{"v1"}, func(p *Pool) { p.SourceLost(now - time.Second) }, false},
		"other routers know of nothing": {[]string{"v1"}, func(p *Pool) { p.SourceLost(now - time.Second); p.peersAt = now }, true},
	} {
		t.Run(name, func(t *testing.T) {
			p := versionPool(d.versions...)
			if d.change != nil {
				d.change(p)
			}
			if known := p.Versions(now, ServiceID("chat"), window); (known.Count == digest.VersionsOne) != d.sole {
				t.Errorf("number of versions %v, want a sole one: %t", known.Count, d.sole)
			}
		})
	}
}

// TestEarlierVersion guards against a router that takes a version for the one that a service had before a release although another was there (ORDER), and
// against one that no longer knows it once another has come (LOST).
func TestEarlierVersion(t *testing.T) {
	const window, now = 30 * time.Second, time.Minute
	come := func(at time.Duration, i int, version string) func(*Pool) {
		return func(p *Pool) { p.SetServer(at, versionServer(i, version)) }
	}
	for name, d := range map[string]struct {
		versions []string
		changes  []func(p *Pool)
		want     string        // "" if it is not known
		joined   time.Duration // of the first other version
	}{
		"another has come":              {versions: []string{"v1", "v1"}, changes: []func(*Pool){come(50*time.Second, 2, "v2")}, want: "v1", joined: 50 * time.Second},
		"two others have come":          {versions: []string{"v1"}, changes: []func(*Pool){come(50*time.Second, 2, "v2"), come(40*time.Second, 3, "v3")}, want: "v1", joined: 40 * time.Second},
		"a second server of the other":  {versions: []string{"v1"}, changes: []func(*Pool){come(40*time.Second, 2, "v2"), come(50*time.Second, 3, "v2")}, want: "v1", joined: 40 * time.Second},
		"the entry of the other again":  {versions: []string{"v1"}, changes: []func(*Pool){come(40*time.Second, 2, "v2"), come(50*time.Second, 2, "v2")}, want: "v1", joined: 40 * time.Second},
		"the earlier one left since":    {versions: []string{"v1"}, changes: []func(*Pool){come(50*time.Second, 2, "v2"), func(p *Pool) { p.RemoveServer(55*time.Second, "a") }}, want: "v1", joined: 50 * time.Second},
		"the other has left":            {versions: []string{"v1"}, changes: []func(*Pool){come(40*time.Second, 2, "v2"), func(p *Pool) { p.RemoveServer(45*time.Second, "c") }}, want: "v1", joined: 40 * time.Second},
		"both were there":               {versions: []string{"v1", "v2"}},
		"a third joined both":           {versions: []string{"v1", "v2"}, changes: []func(*Pool){come(50*time.Second, 2, "v3")}},
		"it came before the window":     {versions: []string{"v1"}, changes: []func(*Pool){come(20*time.Second, 2, "v2")}},
		"all are renewed":               {versions: []string{"v1"}, changes: []func(*Pool){come(40*time.Second, 0, "v2"), come(50*time.Second, 0, "v3")}, want: "v1", joined: 40 * time.Second},
		"a third took the other's turn": {versions: []string{"v1"}, changes: []func(*Pool){come(20*time.Second, 0, "v2"), come(50*time.Second, 0, "v3")}, want: "v2", joined: 50 * time.Second},
		"the first one comes back":      {versions: []string{"v1"}, changes: []func(*Pool){come(20*time.Second, 0, "v2"), come(50*time.Second, 1, "v1")}},
		"nothing was missed then":       {versions: []string{"v1"}, changes: []func(*Pool){come(50*time.Second, 2, "v2"), func(p *Pool) { p.ReadAnew(52*time.Second, Coverage{Continuous: true}) }}, want: "v1", joined: 50 * time.Second},
		"written again after a copy": {versions: []string{"v1"}, changes: []func(*Pool){
			func(p *Pool) { p.ReadAnew(48*time.Second, Coverage{Before: math.MaxInt64, FromCopy: true}) }, come(50*time.Second, 2, "v2"),
		}},
		"the platform was read anew": {versions: []string{"v1"}, changes: []func(*Pool){come(50*time.Second, 2, "v2"), func(p *Pool) { p.ReadAnew(52*time.Second, Coverage{}) }}},
	} {
		t.Run(name, func(t *testing.T) {
			p := versionPool(d.versions...)
			for _, change := range d.changes {
				change(p)
			}
			version, joined, ok := p.EarlierVersion(now, ServiceID("chat"), window)
			if ok != (d.want != "") || ok && (version != VersionID(d.want) || joined != d.joined) {
				t.Errorf("version %d since others joined at %v, %t; want %q and %v", version, joined, ok, d.want, d.joined)
			}
		})
	}
}

// TestPinnedRequestsKeepTheirVersion guards against a stream that goes on at another version since its own is full, cold or gone, and against one
// that waits for servers that no longer exist.
func TestPinnedRequestsKeepTheirVersion(t *testing.T) {
	for name, d := range map[string]struct {
		change func(p *Pool)
		tried  []string
		want   []string // servers that may get the request; none if it is rejected at once
	}{
		"both serve":          {nil, nil, []string{"a", "b"}},
		"one has failed it":   {nil, []string{"a"}, []string{"b"}},
		"both have failed it": {nil, []string{"a", "b"}, nil},
		"both are gone":       {func(p *Pool) { p.RemoveServer(0, "a"); p.RemoveServer(0, "b") }, nil, nil},
		"one is gone, one drains": {func(p *Pool) {
			p.RemoveServer(0, "a")
			s := versionServer(1, "v1")
			s.Draining = true
			p.SetServer(0, s)
		}, nil, nil},
		"one has another version":  {func(p *Pool) { p.SetServer(0, versionServer(0, "v2")) }, nil, []string{"b"}},
		"their data centre is out": {func(p *Pool) { p.Evacuate(0, "d", true) }, nil, nil},
		"one has ended": {func(p *Pool) {
			end(p, "a")
		}, nil, []string{"b"}},
		"one has ended, and its entry is new": {func(p *Pool) {
			end(p, "a")
			p.SetServer(0, versionServer(0, "v1"))
		}, nil, []string{"a", "b"}},
		"a third server comes back": {func(p *Pool) { p.RemoveServer(0, "b"); p.SetServer(0, versionServer(5, "v1")) }, nil, []string{"a", "f"}},
	} {
		t.Run(name, func(t *testing.T) {
			p := versionPool("v1", "v1", "v2", "v2", "")
			if d.change != nil {
				d.change(p)
			}
			for i := range 40 {
				now := time.Second + time.Duration(i)*time.Millisecond
				a := &Request{
					Service: "chat", PromptTokens: 100, OutputTokens: 10, Arrived: now, Objective: now + time.Second, Deadline: now + 5*time.Second, Tried: d.tried,
					Segments: []Segment{{ID: uint64(i), Tokens: 20}, {ID: 1 << 40, Tokens: 20}}, Pinned: true, Version: VersionID("v1"),
				}
				decision, ok := p.Admit(now, a)
				if !ok {
					t.Fatal("the request waits")
				}
				if decision.Run == nil {
					if len(d.want) > 0 || decision.Reason != fleet.ReasonVersionGone {
						t.Fatalf("rejected for %v", decision.Reason)
					}
					continue
				}
				if !slices.Contains(d.want, decision.Run.Server.ID) {
					t.Fatalf("sent to %s, want one of %v", decision.Run.Server.ID, d.want)
				}
				p.Began(now, decision.Run)
				p.Ended(now, decision.Run, Result{})
			}
		})
	}
}

// TestPinnedRequestsOfLargeFleets guards against a stream that finds no server of its version since only a few of very many are looked at.
func TestPinnedRequestsOfLargeFleets(t *testing.T) {
	versions := make([]string, 26)
	for i := range versions {
		versions[i] = "v2"
	}
	versions[17] = "v1"
	p := versionPool(versions...)
	for i := range 100 {
		now := time.Second + time.Duration(i)*50*time.Millisecond
		a := &Request{
			Service: "chat", PromptTokens: 100, OutputTokens: 10, Arrived: now, Objective: now + time.Second, Deadline: now + 5*time.Second,
			Segments: []Segment{{ID: uint64(i), Tokens: 20}, {ID: 1 << 40, Tokens: 20}}, Pinned: true, Version: VersionID("v1"),
		}
		decision, ok := p.Admit(now, a)
		if !ok || decision.Run == nil || decision.Run.Server.ID != "r" {
			t.Fatalf("request %d: decided %t, %v", i, ok, decision.Reason)
		}
		p.Began(now, decision.Run)
		p.Ended(now, decision.Run, Result{})
	}
}
