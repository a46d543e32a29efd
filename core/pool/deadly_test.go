package pool

import (
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
)

// Fingerprints of the tests.
const deadlyRequest, otherDeadly, commonRequest = 0xdeadbeef, 0xdeadcafe, 0xc0ffee

// crashByRequest sends a request again and again, by one router after the other, until one refuses it, and returns how many servers it ended.
func (f *crashFleet) crashByRequest(fingerprint uint64, answered bool, parts ...uint64) int {
	f.t.Helper()
	for n := range 20 {
		router := n % len(f.routers)
		d := f.sendRequest(router, fingerprint, nil, parts...)
		if d.Run == nil {
			if d.Reason != fleet.ReasonPoisonedRequest && d.Reason != fleet.ReasonPoisonedPrompt {
				f.t.Fatalf("refused for %v", d.Reason)
			}
			return n
		}
		f.pass(200 * time.Millisecond)
		if answered {
			d.Run.Answered()
		}
		f.end(map[int][]*Run{router: {d.Run}}, true)
		f.pass(300 * time.Millisecond)
	}
	f.t.Fatal("the request is not known after 20 crashes")
	return 0
}

// TestRequestIsKnownToAllRouters guards against a request that ends a server each time it comes again, as only parts of prompts were known (BUDGET),
// and against the refusal of other requests for it.
func TestRequestIsKnownToAllRouters(t *testing.T) {
	for name, d := range map[string]struct {
		answered bool
		parts    []uint64
	}{
		"to a plain service":    {},
		"with a prompt":         {true, []uint64{basePart, subjectPart}},
		"with parts of its own": {true, []uint64{0x1, 0x2}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 9, 9)
			f.serve(0, basePart, subjectPart)
			if n := f.crashByRequest(deadlyRequest, d.answered, d.parts...); n > 3 {
				t.Errorf("%d requests ended servers, want 3 at most", n)
			}
			for i := range f.routers {
				if d := f.sendRequest(i, deadlyRequest, nil, d.parts...); d.Run != nil {
					t.Errorf("router %d sends the request", i)
				}
				f.serve(i, basePart, subjectPart)
				if d := f.sendRequest(i, otherDeadly, nil); d.Run == nil {
					t.Errorf("router %d refuses another request: %v", i, d.Reason)
				}
			}
			d := f.sendRequest(0, otherDeadly, nil, append([]uint64{}, d.parts...)...)
			if d.Run == nil {
				t.Errorf("another request with the same parts is refused: %v", d.Reason)
			}
		})
	}
}

// TestTwoDeadlyRequestsAtOnce guards against two requests that each explain the other's crashes, so that neither is ever refused.
func TestTwoDeadlyRequestsAtOnce(t *testing.T) {
	f := newCrashFleet(t, 3, 9)
	ended := make(map[uint64]int) // servers, by the request that ran
	for n := range 20 {
		router := n % len(f.routers)
		var runs []*Run
		for _, fingerprint := range []uint64{deadlyRequest, otherDeadly} {
			var tried []string
			for range 9 {
				d := f.sendRequest(router, fingerprint, tried)
				if d.Run == nil {
					break
				}
				if len(runs) == 0 || d.Run.Server.ID == runs[0].Server.ID {
					runs = append(runs, d.Run)
					ended[fingerprint]++
					break
				}
				f.routers[router].Ended(f.now, d.Run, Result{CallerGone: true})
				tried = append(tried, d.Run.Server.ID)
			}
		}
		if len(runs) == 0 {
			break
		}
		f.pass(200 * time.Millisecond)
		f.end(map[int][]*Run{router: runs}, true)
		f.pass(300 * time.Millisecond)
	}
	for fingerprint, n := range ended {
		if n > 3 {
			t.Errorf("%d servers ended under request %x, want 3 at most", n, fingerprint)
		}
	}
}

// TestCommonRequestStaysServed guards against the refusal of a request that many callers send alike, and that runs wherever another one ends a server.
func TestCommonRequestStaysServed(t *testing.T) {
	f := newCrashFleet(t, 3, 9)
	for n := range 5 {
		router := n % len(f.routers)
		d := f.sendRequest(router, commonRequest, nil)
		if d.Run == nil {
			t.Fatalf("refused for %v after %d crashes", d.Reason, n)
		}
		f.pass(200 * time.Millisecond)
		f.end(map[int][]*Run{router: {d.Run}}, true)
		answered := f.sendRequest((n+1)%len(f.routers), commonRequest, nil)
		if answered.Run == nil {
			t.Fatalf("refused for %v after %d crashes", answered.Reason, n+1)
		}
		f.pass(100 * time.Millisecond)
		f.routers[(n+1)%len(f.routers)].Began(f.now, answered.Run)
		f.routers[(n+1)%len(f.routers)].Ended(f.now, answered.Run, Result{})
		f.pass(200 * time.Millisecond)
	}
	if len(f.poisoned) > 0 {
		t.Error(f.poisoned)
	}
}

// TestTrialsOfARequest guards against trials that end more servers than callers bear, by all routers together.
func TestTrialsOfARequest(t *testing.T) {
	f := newCrashFleet(t, 9, 9)
	f.crashByRequest(deadlyRequest, false)
	sent := 0
	for n := range 1200 { // ten minutes
		router := n % len(f.routers)
		if d := f.sendRequest(router, deadlyRequest, nil); d.Run != nil {
			sent++
			f.end(map[int][]*Run{router: {d.Run}}, true)
		}
		f.pass(500 * time.Millisecond)
	}
	if sent == 0 || sent > 3 {
		t.Errorf("%d trials in ten minutes, want 1 to 3", sent)
	}
}

// TestRequestIsNoPart guards against a part of a prompt that is refused since a request has its number.
func TestRequestIsNoPart(t *testing.T) {
	f := newCrashFleet(t, 2, 9)
	news := digest.Suspect{Service: nameID("chat"), ID: subjectPart, Request: true}
	for i := range uint32(3) {
		news.Crashes = append(news.Crashes, digest.Crash{Server: i + 1, Age: time.Duration(3-i) * time.Second})
	}
	f.routers[0].MergeSuspects(f.now, []digest.Suspect{news})
	f.serve(0, basePart, subjectPart)
	if d := f.sendRequest(0, subjectPart, nil); d.Run != nil {
		t.Error("the request itself is sent")
	}
}

// TestRequestBesideADeadlyOne guards against a request that is refused since it ran beside a deadly one, and against a second deadly request that
// is excused by the first.
func TestRequestBesideADeadlyOne(t *testing.T) {
	for name, d := range map[string]struct {
		servers []uint32 // that ended under the request; the deadly one ended 1 to 5
		refused bool
	}{
		"three ends beside":                     {[]uint32{1, 2, 3}, false},
		"two ends beside and another":           {[]uint32{1, 2, 6}, true},
		"as many ends, all beside the deadly":   {[]uint32{1, 2, 3, 4, 5}, true},
		"two ends beside, too few for a cause":  {[]uint32{1, 2}, false},
		"three ends of its own":                 {[]uint32{6, 7, 8}, true},
		"three ends of its own and some beside": {[]uint32{1, 2, 6, 7, 8}, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(t, 1, 9)
			news := func(fingerprint uint64, servers ...uint32) digest.Suspect {
				s := digest.Suspect{Service: nameID("chat"), ID: fingerprint, Request: true}
				for _, server := range servers {
					s.Crashes = append(s.Crashes, digest.Crash{Server: server, Age: time.Duration(10-server) * 300 * time.Millisecond})
				}
				return s
			}
			f.routers[0].MergeSuspects(f.now, []digest.Suspect{news(deadlyRequest, 1, 2, 3, 4, 5), news(commonRequest, d.servers...)})
			if refused := f.sendRequest(0, commonRequest, nil).Run == nil; refused != d.refused {
				t.Errorf("refused %t, want %t", refused, d.refused)
			}
			if f.sendRequest(0, deadlyRequest, nil).Run != nil {
				t.Error("the deadly request is sent")
			}
		})
	}
}
