package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
	"mangolug.org/core/route"
)

// Prompt parts of the tests; ownPart is followed by one number for each request.
const (
	basePart, subjectPart, deadly = 0xba5e, 0x5ab, 0xdead
	ownPart                       = 1 << 32
)

// crashFleet is some routers that exchange what they know of prompt parts, before servers that end.
type crashFleet struct {
	t        *testing.T
	now      time.Duration
	routers  []*Pool
	servers  int
	starts   []int64 // of each server
	own      uint64
	poisoned []string // events of parts at the first router
}

func newCrashFleet(t *testing.T, routers, servers int) *crashFleet {
	f := &crashFleet{t: t, now: 5 * time.Second, servers: servers, starts: make([]int64, servers)}
	for i := range routers {
		p := &Pool{Self: fmt.Sprint("r", i), DataCentre: "d", Joined: true}
		for k := range routers {
			if k != i {
				p.Peers = append(p.Peers, fmt.Sprint("r", k))
			}
		}
		if i == 0 {
			p.OnEvent = func(e Event) {
				if e.Subject != "" {
					f.poisoned = append(f.poisoned, e.Subject+" "+e.Kind)
				}
			}
		}
		p.Configure(route.NewTable(route.Config{Services: []route.Service{{Name: "chat", Model: true, Slots: 64}}}))
		f.routers = append(f.routers, p)
	}
	for i := range servers {
		f.start(i)
	}
	return f
}

// start publishes a new incarnation of a server.
func (f *crashFleet) start(i int) {
	f.starts[i]++
	for _, p := range f.routers {
		p.SetServer(f.now, Server{ID: fmt.Sprint("s", i), Service: "chat", Address: fmt.Sprintf("10.0.0.%d:80", i+1), DataCentre: "d", Slots: 64, StartMillis: f.starts[i]})
	}
}

// pass lets time pass and news travel.
func (f *crashFleet) pass(d time.Duration) {
	for until := f.now + d; f.now < until; f.now += 50 * time.Millisecond {
		var news [][]digest.Suspect
		for _, p := range f.routers {
			news = append(news, p.Suspects(f.now))
		}
		for i, p := range f.routers {
			for k, list := range news {
				if k != i {
					p.MergeSuspects(f.now, list)
				}
			}
		}
	}
}

// send sends a request with some shared parts by a router, to a server other than those tried, and returns its run or a refusal.
func (f *crashFleet) send(router int, tried []string, parts ...uint64) Decision {
	f.t.Helper()
	return f.sendRequest(router, 0, tried, parts...)
}

// sendRequest sends a request with a fingerprint, and with a prompt unless there are no parts.
func (f *crashFleet) sendRequest(router int, fingerprint uint64, tried []string, parts ...uint64) Decision {
	f.t.Helper()
	f.own++
	a := &Request{ID: fmt.Sprint(f.own), Service: "chat", PromptTokens: 100, OutputTokens: 10, Arrived: f.now, Objective: f.now + time.Second, Deadline: f.now + 5*time.Second, Tried: tried, Fingerprint: fingerprint}
	if len(parts) == 0 {
		a.PromptTokens, a.OutputTokens = 0, 0
	} else {
		parts = append(slices.Clone(parts), ownPart+f.own)
	}
	for _, part := range parts {
		a.Segments = append(a.Segments, Segment{ID: part, Tokens: 20})
	}
	d, ok := f.routers[router].Admit(f.now, a)
	if !ok {
		f.t.Fatal("the request waits")
	}
	return d
}

// crash ends the server of a run just after the header of its response, and starts it anew.
func (f *crashFleet) crash(router int, r *Run) {
	f.t.Helper()
	r.Answered()
	f.end(map[int][]*Run{router: {r}}, true)
}

// end breaks runs off, by router. Their servers have ended, or their connections were cut.
func (f *crashFleet) end(runs map[int][]*Run, ended bool) {
	for i, list := range runs {
		for _, r := range list {
			f.routers[i].Ended(f.now, r, Result{Failed: true, Broken: true})
			if f.routers[i].UncheckedCrash(r) {
				f.routers[i].ConfirmCrash(f.now, r, ended)
			}
		}
	}
	if !ended {
		return
	}
	for _, list := range runs {
		for _, r := range list {
			var i int
			if _, err := fmt.Sscanf(r.Server.ID, "s%d", &i); err != nil {
				f.t.Fatal(err)
			}
			if f.starts[i] == r.Server.StartMillis {
				f.start(i)
			}
		}
	}
}

// serve lets a request be served.
func (f *crashFleet) serve(router int, parts ...uint64) {
	f.t.Helper()
	d := f.send(router, nil, parts...)
	if d.Run == nil {
		f.t.Fatalf("a sound request with parts %x was refused: %v", parts, d.Reason)
	}
	f.routers[router].Began(f.now, d.Run)
	f.routers[router].Ended(f.now, d.Run, Result{})
}

// poison sends requests with some parts by one router after the other, each of which ends its server, until one is refused, and returns
// how many were sent.
func (f *crashFleet) poison(parts ...uint64) int {
	f.t.Helper()
	for n := range 20 {
		router := n % len(f.routers)
		d := f.send(router, nil, parts...)
		if d.Run == nil {
			if d.Reason != fleet.ReasonPoisonedPrompt {
				f.t.Fatalf("refused for %v, want %v", d.Reason, fleet.ReasonPoisonedPrompt)
			}
			return n
		}
		f.pass(200 * time.Millisecond)
		f.crash(router, d.Run)
		f.pass(300 * time.Millisecond)
	}
	f.t.Fatal("the part is not known after 20 crashes")
	return 0
}

// TestPoisonedPartIsKnownToAllRouters guards against a part of prompts that ends a server for each router that meets it (BUDGET), and against the
// refusal of sound prompts that share its other parts (LOST).
func TestPoisonedPartIsKnownToAllRouters(t *testing.T) {
	f := newCrashFleet(t, 9, 9)
	f.serve(0, basePart, subjectPart)
	if n := f.poison(basePart, subjectPart, deadly); n > 3 {
		t.Errorf("%d requests ended servers, want 3 at most", n)
	}
	for i := range f.routers {
		if d := f.send(i, nil, basePart, deadly); d.Run != nil && i > 0 {
			t.Errorf("router %d sends the part", i)
		}
		f.serve(i, basePart, subjectPart)
		f.serve(i, basePart, uint64(i))
	}
}

// TestPartThatComesWithAnother guards against the refusal of one team's part since another team sends it beside a deadly one: while nothing
// tells the two apart, only requests with both are refused.
func TestPartThatComesWithAnother(t *testing.T) {
	f := newCrashFleet(t, 3, 9)
	const victim = 0x71c
	f.poison(victim, deadly)
	d := f.send(1, nil, basePart, victim)
	if d.Run == nil {
		t.Fatalf("a request with the other team's part was refused: %v", d.Reason)
	}
	f.routers[1].Began(f.now, d.Run)
	f.routers[1].Ended(f.now, d.Run, Result{})
	f.pass(300 * time.Millisecond)
	if d := f.send(2, nil, basePart, deadly); d.Run != nil {
		t.Error("the deadly part is sent alone, though servers answer prompts with the other one")
	}
	f.serve(0, victim)
}

// TestCrashesWithOtherCauses guards against the refusal of sound prompts for crashes that have another cause.
func TestCrashesWithOtherCauses(t *testing.T) {
	open := func(f *crashFleet, router, n int) []*Run {
		var runs []*Run
		var tried []string
		for range n {
			d := f.send(router, tried, basePart, subjectPart)
			if d.Run == nil {
				f.t.Fatal(d.Reason)
			}
			d.Run.Answered()
			tried = append(tried, d.Run.Server.ID)
			runs = append(runs, d.Run)
		}
		return runs
	}
	for name, do := range map[string]func(f *crashFleet){
		"many servers lose power at the same moment": func(f *crashFleet) {
			f.end(map[int][]*Run{0: open(f, 0, 5), 1: open(f, 1, 5), 2: open(f, 2, 5)}, true)
		},
		"a router is cut off again and again": func(f *crashFleet) {
			for range 5 {
				f.end(map[int][]*Run{0: open(f, 0, 3)}, false)
				f.pass(time.Second)
			}
		},
		"servers that leave cut what is left": func(f *crashFleet) {
			for i := range 5 {
				runs := open(f, 0, 1)
				s := runs[0].Server
				s.Draining = true
				f.routers[0].SetServer(f.now, s)
				f.end(map[int][]*Run{0: runs}, true)
				f.pass(time.Duration(i) * time.Second)
			}
		},
		"servers end while others answer the same parts": func(f *crashFleet) {
			for range 5 {
				runs := open(f, 0, 1)
				f.serve(1, basePart, subjectPart)
				f.pass(200 * time.Millisecond)
				f.end(map[int][]*Run{0: runs}, true)
				f.serve(1, basePart, subjectPart)
				f.pass(300 * time.Millisecond)
			}
		},
		"servers end in the middle of long streams": func(f *crashFleet) {
			for range 5 {
				runs := open(f, 0, 1)
				f.routers[0].Began(f.now, runs[0])
				f.pass(time.Second)
				runs[0].Event(f.now)
				f.end(map[int][]*Run{0: runs}, true)
			}
		},
		"every router reports one crash": func(f *crashFleet) {
			var server string
			runs := make(map[int][]*Run)
			for i := range f.routers {
				for range 100 {
					d := f.send(i, nil, basePart, subjectPart)
					if d.Run == nil {
						break
					}
					if server == "" {
						server = d.Run.Server.ID
					}
					if d.Run.Server.ID == server {
						runs[i] = append(runs[i], d.Run)
						break
					}
				}
			}
			f.end(runs, true)
			f.pass(2 * time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 3, 9)
			do(f)
			f.pass(300 * time.Millisecond)
			if len(f.poisoned) > 0 {
				t.Error(f.poisoned)
			}
			for i := range f.routers {
				f.serve(i, basePart, subjectPart)
			}
		})
	}
}

// TestMendedServersServeAPartAgain guards against a part that stays refused after its servers were mended, and against more trials than
// callers can bear while they are not.
func TestMendedServersServeAPartAgain(t *testing.T) {
	for name, d := range map[string]struct {
		mended bool
		most   int // requests in two minutes
	}{
		"mended":     {true, 3000},
		"not mended": {false, 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 9, 9)
			f.poison(basePart, deadly)
			refused := f.send(0, nil, basePart, deadly)
			if refused.RetryAfter < trialDelay/2 || refused.RetryAfter > 2*trialDelay {
				t.Errorf("Retry-After %v, want about %v", refused.RetryAfter, trialDelay)
			}
			sent, newest := 0, false
			for n := range 1200 { // two minutes
				router := n % len(f.routers)
				decision := f.send(router, nil, basePart, deadly)
				newest = decision.Run != nil
				if newest {
					sent++
					f.routers[router].Began(f.now, decision.Run)
					if d.mended {
						f.routers[router].Ended(f.now, decision.Run, Result{})
					} else {
						f.crash(router, decision.Run)
					}
				}
				f.pass(100 * time.Millisecond)
			}
			if sent == 0 || sent > d.most || newest != d.mended {
				t.Errorf("%d requests sent, the last one %t: want 1 to %d, the last one %t", sent, newest, d.most, d.mended)
			}
		})
	}
}

// TestRestartedRouterLearnsPoisonedParts guards against a router that sends a poisoned part since it was started after the crashes.
func TestRestartedRouterLearnsPoisonedParts(t *testing.T) {
	f := newCrashFleet(t, 3, 9)
	f.poison(basePart, deadly)
	f.pass(3 * time.Second)
	fresh := newCrashFleet(t, 3, 9)
	f.routers[2] = fresh.routers[2]
	f.pass(suspectRefresh + 100*time.Millisecond)
	if d := f.send(2, nil, basePart, deadly); d.Run != nil {
		t.Error("the new router sends the part")
	}
}

// TestSuspectsAreBounded guards against memory and messages that grow with the parts that callers invent.
func TestSuspectsAreBounded(t *testing.T) {
	f := newCrashFleet(t, 2, 3)
	for n := range 3000 {
		d := f.send(0, nil, uint64(n)<<8, uint64(n)<<8+1)
		f.crash(0, d.Run)
		f.now += 200 * time.Millisecond
		if list := f.routers[0].Suspects(f.now); len(list) > maxSuspectsSent {
			t.Fatalf("%d parts in one message", len(list))
		}
	}
	u := &f.routers[0].service("chat").suspects
	if len(u.known) > maxSuspects || len(u.proven.lastUsed) > maxCachedSegments+1 {
		t.Errorf("%d suspects and %d proven parts are kept", len(u.known), len(u.proven.lastUsed))
	}
}

// TestSuspectNewsMayRepeat guards against evidence that is counted twice since it arrived on two paths, or out of order.
func TestSuspectNewsMayRepeat(t *testing.T) {
	now := time.Minute
	p := newCrashFleet(t, 1, 3).routers[0]
	news := digest.Suspect{Service: nameID("chat"), ID: deadly, Crashes: []digest.Crash{{Server: 1, Age: time.Second, Answered: true}}}
	for range 5 {
		p.MergeSuspects(now, []digest.Suspect{news, {Service: nameID("chat"), ID: deadly}})
		now += 200 * time.Millisecond
	}
	s := p.service("chat").suspects.known[subject{SubjectPart, deadly}]
	if s.poisoned || len(s.crashes) != 1 {
		t.Errorf("poisoned %t by %d crashes, want one", s.poisoned, len(s.crashes))
	}
	p.MergeSuspects(now, []digest.Suspect{{Service: nameID("chat"), ID: deadly, Cleared: true, ClearedAge: 10 * time.Millisecond}})
	p.MergeSuspects(now, []digest.Suspect{news})
	if s := p.service("chat").suspects.known[subject{SubjectPart, deadly}]; len(s.crashes) > 0 {
		t.Error("old news brought a cleared crash back")
	}
	if !slices.ContainsFunc(p.Suspects(now), func(d digest.Suspect) bool { return d.Cleared }) {
		t.Error("the next routers are not told that the part was cleared")
	}
}
