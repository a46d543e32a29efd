package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	proxy "mangolug.org/faults/fault"
	"mangolug.org/stage/local"
)

// The way to the desk fails before, during and after the send; each call runs at most once, with its key tried again and without one.
func TestAtMostOnceThroughCuts(t *testing.T) {
	s := settings(local.Carraig())
	s.ServerFaults = true
	f := start(t, s)
	settled(t, f)
	tests := map[string]proxy.Rule{
		"refused":                {Cut: true},
		"before the send":        {ResetRequests: 1},
		"inside the header":      {ResetRequests: 40},
		"after the request":      {ResetAnswers: 1},
		"inside the answer":      {ResetAnswers: 200},
		"closed in the answer":   {ResetAnswers: 200, Close: true},
		"request held":           {HoldRequests: true},
		"answer held":            {HoldAnswers: true},
		"half-open":              {HalfOpen: true},
		"answer twice":           {Duplicate: true},
		"request held, one link": {Link: f.ServersOf(f.Site.Plain)[0].Name, HoldRequests: true},
	}
	var results []result
	for name, rule := range tests {
		f.Faults.Set(rule)
		for _, key := range []string{newKey(), ""} {
			c := call{
				router: f.Routers[0], team: f.Site.Teams[0], method: http.MethodPost, path: "/" + f.Site.Plain + f.Site.Once,
				body: fmt.Sprintf("%s, key %q", name, key), key: key, timeout: 400 * time.Millisecond,
			}
			first := result{call: c, answer: do(t.Context(), c)}
			t.Logf("%s, keyed %v: %s", name, key != "", ending(first))
			results = append(results, first)
		}
		f.Faults.Clear("")
	}
	results = append(results, retryKeys(t, f, results)...)
	check(t, f, results)
	bodies := map[string]int{}
	for _, run := range deskRuns(t, f) {
		if bodies[run.Body]++; bodies[run.Body] > 1 && run.Body != "probe" {
			t.Errorf("%q ran %d times", run.Body, bodies[run.Body])
		}
	}
}

// retryKeys tries each key that was not answered again through the other routers.
func retryKeys(t *testing.T, f *local.Fleet, results []result) []result {
	t.Helper()
	var more []result
	for _, r := range results {
		if r.call.key == "" || answered(r) {
			continue
		}
		for _, router := range f.Routers[1:] {
			r.call.router = router
			r.call.timeout = 2 * time.Second
			more = append(more, result{call: r.call, answer: do(t.Context(), r.call)})
		}
	}
	return more
}

// Half of the messages between routers are lost one way, while one more router is killed.
func TestOneWayLossAndKill(t *testing.T) {
	s := settings(local.Chenab())
	s.Routers, s.PeerFaults = 5, true
	f := start(t, s)
	settled(t, f)
	l := startLoad(t, f, 12, 8, 20)
	l.waitFor(t, 10*time.Second, 24, answered)
	deaf := f.Routers[1]
	f.Faults.Set(proxy.Rule{Link: deaf.Name, HoldRequests: true})
	must(t, f.Routers[2].Kill())
	elapse(t, pastLeases)
	l.waitFor(t, 10*time.Second, 12, answered)
	f.Faults.Clear("")
	must(t, f.Routers[2].Start())
	must(t, f.WaitReady(readyLimit))
	l.waitFor(t, 10*time.Second, 24, answered)
	check(t, f, l.stop())
	checkLimits(t, f)
}

// The rule arrives while one router reaches no peer, and that one or another does not reach the configuration service. A router that
// reaches neither goes on under the rules that it has; from the time it reaches a peer again the limit holds for it too.
func TestDataCentreOutWhileRoutersAreCutOff(t *testing.T) {
	for name, both := range map[string]bool{"two routers": false, "one router from both": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := settings(local.Chenab())
			s.PeerFaults, s.PlatFaults = true, true
			f := start(t, s)
			l := startLoad(t, f, 12, 0, 20)
			l.waitFor(t, 10*time.Second, 24, answered)
			alone := scheduler(t, f, f.Site.Model)
			others := without(f, alone)
			split(f, alone)
			blind := others[0]
			if both {
				blind = alone
			}
			f.Faults.Set(proxy.Rule{Link: blind.PlatLink, Cut: true})
			elapse(t, pastLeases)
			out := others[1].DataCentre
			version, err := f.Publish(f.Rules(out), "")
			must(t, err)
			quiet := time.Now().Add(outLimit)
			if both {
				inForce(t, part(f, others...), outLimit, version)
				elapse(t, pastLeases)
				status, err := alone.Status()
				must(t, err)
				if status.ConfigVersion >= version {
					t.Errorf("%s has version %d, though it is cut off", alone.Name, status.ConfigVersion)
				}
				for _, r := range f.Routers {
					f.Faults.Clear(r.Name)
				}
				quiet = time.Now().Add(outLimit)
			}
			inForce(t, f, outLimit, version)
			elapse(t, time.Until(quiet))
			l.waitFor(t, 10*time.Second, 24, answered)
			quietSince(t, f, serversIn(f, out), quiet)
			f.Faults.Clear("")
			must(t, f.WaitReady(readyLimit))
			check(t, f, l.stop())
			checkLimits(t, f)
		})
	}
}
