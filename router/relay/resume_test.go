package relay

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/resume"
)

const (
	// eventsOfRun is the number of events of a whole stream, and brokenAfter that after which a first run breaks off.
	eventsOfRun, brokenAfter = 6, 3
	// firstAttempt is the id of the attempt that began the stream of a caller that comes back.
	firstAttempt = "id-0"
)

// versionFixture is a relay in front of servers that have software versions and break off the first run of a stream.
type versionFixture struct {
	*fixture
	mutex sync.Mutex
	ran   []int // servers, in the order of runs
}

// newVersionFixture starts it. An empty version gives none.
func newVersionFixture(t *testing.T, versions [3]string) *versionFixture {
	t.Helper()
	f := &versionFixture{}
	f.fixture = newFixture(t, func(_ *fixture, server int, rw http.ResponseWriter, r *http.Request) {
		f.mutex.Lock()
		f.ran = append(f.ran, server)
		first := len(f.ran) == 1
		f.mutex.Unlock()
		after, _ := strconv.Atoi(r.Header.Get(testLastEvent)) // 0 for a new stream
		if first && after == 0 {
			writeEvents(rw, 1, brokenAfter)
			panic(http.ErrAbortHandler)
		}
		writeEvents(rw, after+1, eventsOfRun)
	})
	f.setVersionsAt(-time.Hour, versions)
	f.relay.Streams = &resume.Register{Clock: f.relay.Clock, Versions: func(service uint32, window time.Duration) (known digest.Versions) {
		f.relay.Gate.With(func(now time.Duration, p *pool.Pool) { known = p.Versions(now, service, window) })
		return known
	}}
	return f
}

// setVersions gives the servers other versions now.
func (f *versionFixture) setVersions(versions [3]string) {
	f.setVersionsAt(f.relay.Clock(), versions)
}

func (f *versionFixture) setVersionsAt(now time.Duration, versions [3]string) {
	f.relay.Gate.With(func(_ time.Duration, p *pool.Pool) {
		for i, v := range versions {
			p.SetServer(now, pool.Server{ID: fmt.Sprint("s", i), Service: "desk", Address: f.addresses[i], DataCentre: "east", Slots: 8, StartMillis: startOf(i), Version: v})
		}
	})
}

// TestStreamGoesOnAtItsVersion guards against an answer whose first events come from one software version and whose rest from another (ORDER), and
// against one that breaks off though a server of its version could go on (LOST).
func TestStreamGoesOnAtItsVersion(t *testing.T) {
	for name, d := range map[string]struct {
		versions [3]string
		whole    bool
	}{
		"one version":           {[3]string{"v1", "v1", "v1"}, true},
		"none given":            {[3]string{}, true},
		"three versions":        {[3]string{"v1", "v2", "v3"}, false},
		"given by one of three": {[3]string{"v1", "", "v2"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFixture(t, d.versions)
			a := f.do(t, http.MethodPost, "/stream/", "x", nil)
			want := wholeStream(brokenAfter)
			if d.whole {
				want = wholeStream(eventsOfRun)
			}
			if a.body != want || (a.err == nil) != d.whole {
				t.Errorf("got %q, %v, want %q", a.body, a.err, want)
			}
			if wantRuns := map[bool]int{true: 2, false: 1}[d.whole]; len(f.ran) != wantRuns {
				t.Errorf("runs at %v, want %d", f.ran, wantRuns)
			}
		})
	}
	for range 5 {
		f := newVersionFixture(t, [3]string{"v1", "v2", "v1"})
		a := f.do(t, http.MethodPost, "/stream/", "x", nil)
		if f.ran[0] == 1 {
			if a.err == nil || len(f.ran) > 1 {
				t.Errorf("a stream of the only server with v2 went on at %v", f.ran)
			}
			continue
		}
		if a.err != nil || len(f.ran) != 2 || f.ran[1] == 1 {
			t.Errorf("runs at %v, %v, want both at servers 0 and 2", f.ran, a.err)
		}
	}
}

// TestCallerGoesOnAtItsVersion guards against a caller that comes back, to any router, and gets the rest of its stream from another software version.
func TestCallerGoesOnAtItsVersion(t *testing.T) {
	began := func(team, version string) func(f *versionFixture) {
		return func(f *versionFixture) {
			f.relay.Streams.Receive("other", digest.Streams{Told: []digest.StreamVersion{{Attempt: resume.AttemptID(team, firstAttempt), Version: pool.VersionID(version)}}})
		}
	}
	for name, d := range map[string]struct {
		versions  [3]string
		change    func(f *versionFixture)
		attempt   string // that the caller names
		lastEvent string
		status    int
		server    int // that goes on; -1 for none
	}{
		"told by another router":        {[3]string{"v1", "v2", "v3"}, began("", "v2"), firstAttempt, "3", http.StatusOK, 1},
		"nobody knows":                  {[3]string{"v1", "v2", "v3"}, nil, firstAttempt, "3", http.StatusServiceUnavailable, -1},
		"another caller's attempt":      {[3]string{"v1", "v2", "v3"}, began("farm", "v2"), firstAttempt, "3", http.StatusServiceUnavailable, -1},
		"names no attempt":              {[3]string{"v1", "v2", "v3"}, began("", "v2"), "", "3", http.StatusServiceUnavailable, -1},
		"its version is gone":           {[3]string{"v1", "v2", "v3"}, began("", "v0"), firstAttempt, "3", http.StatusServiceUnavailable, -1},
		"the version was given none":    {[3]string{"v1", "", "v2"}, began("", ""), firstAttempt, "3", http.StatusOK, 1},
		"had no event":                  {[3]string{"v1", "v2", "v3"}, nil, firstAttempt, "0", http.StatusOK, 0},
		"one version, nobody knows":     {[3]string{"v1", "v1", "v1"}, nil, firstAttempt, "3", http.StatusOK, 0},
		"one version now, others ended": {[3]string{"v1", "v2", "v2"}, func(f *versionFixture) { f.setVersions([3]string{"v2", "v2", "v2"}) }, firstAttempt, "3", http.StatusServiceUnavailable, -1},
		"the router has just begun": {[3]string{"v1", "v1", "v1"}, func(f *versionFixture) {
			f.relay.Gate.With(func(now time.Duration, p *pool.Pool) { p.ReadAnew(now, pool.Coverage{}) })
		}, firstAttempt, "3", http.StatusServiceUnavailable, -1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFixture(t, d.versions)
			if d.change != nil {
				d.change(f)
			}
			f.ran = append(f.ran, -1) // so that no run breaks off
			a := f.do(t, http.MethodPost, "/stream/", "x", func(r *http.Request) {
				r.Header.Set(testLastEvent, d.lastEvent)
				if d.attempt != "" {
					r.Header.Set(testBegan, d.attempt)
				}
			})
			if a.status != d.status {
				t.Errorf("status %d %q, want %d", a.status, a.body, d.status)
			}
			if d.server < 0 && len(f.ran) > 1 {
				t.Errorf("runs at %v, want none", f.ran[1:])
			}
			if d.server > 0 && (len(f.ran) != 2 || f.ran[1] != d.server) {
				t.Errorf("runs at %v, want server %d", f.ran[1:], d.server)
			}
		})
	}
}

// TestBegunStreamsAreKnown guards against a caller that comes back and finds that the router which began its stream forgot the version.
func TestBegunStreamsAreKnown(t *testing.T) {
	for range 5 {
		f := newVersionFixture(t, [3]string{"v1", "v2", "v3"})
		if a := f.do(t, http.MethodPost, "/stream/", "x", nil); a.err == nil {
			t.Fatal("the stream did not break")
		}
		last, server := brokenAfter, f.ran[0]
		f.setVersions([3]string{"v1", "v1", "v1"})
		versions := [3]string{"v4", "v4", "v4"}
		versions[(server+1)%3] = fmt.Sprint("v", server+1) // another server has the version now
		f.setVersions(versions)
		for n := 1; n <= 2; n++ { // the second attempt names that which itself resumed the stream
			a := f.do(t, http.MethodPost, "/stream/", "x", func(r *http.Request) {
				r.Header.Set(testID, fmt.Sprint("id-", n+1))
				r.Header.Set(testBegan, fmt.Sprint("id-", n))
				r.Header.Set(testLastEvent, strconv.Itoa(last))
			})
			if got := f.ran[len(f.ran)-1]; a.status != http.StatusOK || got != (server+1)%3 {
				t.Errorf("attempt %d: status %d at server %d, want %d", n+1, a.status, got, (server+1)%3)
			}
		}
	}
}

// TestRunsOfServersAreLearned guards against callers whose streams all are refused once every router was restarted, though servers still run what the
// routers before had sent (LOST).
func TestRunsOfServersAreLearned(t *testing.T) {
	for name, d := range map[string]struct {
		reports [3]string
		status  int
		server  int // that goes on; -1 for none
	}{
		"reported by a server":      {[3]string{"", "id-8 " + firstAttempt, "id-9"}, http.StatusOK, 1},
		"another one fails to":      {[3]string{"-", "", firstAttempt}, http.StatusOK, 2},
		"its server fails to":       {[3]string{"id-7", "-", "id-9"}, http.StatusServiceUnavailable, -1},
		"reported by none":          {[3]string{"id-7", "id-8", "id-9"}, http.StatusServiceUnavailable, -1},
		"reports that name nothing": {[3]string{"", "", ""}, http.StatusServiceUnavailable, -1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newVersionFixture(t, [3]string{"v1", "v2", "v3"})
			f.reports = d.reports
			f.relay.LearnRuns(t.Context())
			f.ran = append(f.ran, -1) // so that no run breaks off
			a := f.do(t, http.MethodPost, "/stream/", "x", func(r *http.Request) {
				r.Header.Set(testLastEvent, "3")
				r.Header.Set(testBegan, firstAttempt)
			})
			if got := f.ran[len(f.ran)-1]; a.status != d.status || got != d.server {
				t.Errorf("status %d at server %d, want %d at %d", a.status, got, d.status, d.server)
			}
		})
	}
}
