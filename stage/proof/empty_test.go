package proof

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

const emptyLimit = 5 * time.Second // until a router that starts empty serves again

// One fleet loses the platform in turn in both ways that leave a starting router to its peers.
func TestStartEmptyWithoutPlatform(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	edition := func(n int) uint64 {
		version, err := f.Publish(fmt.Sprintf("# edition %d\n%s", n, f.Rules()), "")
		must(t, err)
		return version
	}
	second := edition(2)
	inForce(t, f, confLimit, second)
	watched := watchVersions(t, f)

	// Rules and list are down.
	must(t, f.SteerPlatform("down?on=true"))
	must(t, f.SteerPlatform("down-list?on=true"))
	restartEmpty(t, f, f.Routers[0], second)

	// The list is still down; the rules are back, but older than those in force.
	must(t, f.SteerPlatform("down?on=false"))
	third := edition(3)
	inForce(t, f, confLimit, third)
	must(t, f.SteerPlatform("serve?version=1"))
	restartEmpty(t, f, f.Routers[1], third)

	// So are both, and the router of the first outage has its own list from a peer only.
	must(t, f.SteerPlatform("down?on=true"))
	restartEmpty(t, f, f.Routers[2], third)
	inForce(t, f, 0, third)
	watched()
}

// A fleet of which no router remembers anything has nobody to learn from: it serves nobody without the platform, and takes a
// stale one at its word. Only a version above all earlier ones repairs that.
func TestWholeFleetStartsEmpty(t *testing.T) {
	f := start(t, settings(local.Carraig()))
	text := fmt.Sprintf("# edition 2\n%s", f.Rules())
	second, err := f.Publish(text, "")
	must(t, err)
	inForce(t, f, confLimit, second)
	must(t, f.SteerPlatform("down?on=true"))
	must(t, f.SteerPlatform("down-list?on=true"))
	for _, r := range f.Routers {
		must(t, r.Kill())
	}
	for _, r := range f.Routers {
		must(t, r.Start())
	}
	elapse(t, 2*time.Second)
	for _, r := range f.Routers {
		status, err := r.Status()
		must(t, err)
		a := do(t.Context(), call{router: r, team: f.Site.Teams[0], method: http.MethodGet, path: "/" + f.Site.Plain + f.Site.Harmless + "1"})
		if status.Ready || status.ConfigVersion != 0 || len(status.Peers) != 0 || a.refusal.Reason != "notReady" || !a.refusal.NotRun {
			t.Errorf("%s knows nothing, yet it says %+v and answers %d %s", r.Name, status, a.status, a.body)
		}
	}
	must(t, f.SteerPlatform("serve?version=1"))
	must(t, f.SteerPlatform("down?on=false"))
	must(t, f.SteerPlatform("down-list?on=false"))
	must(t, f.WaitReady(readyLimit))
	inForce(t, f, 0, 1)
	must(t, f.SteerPlatform("serve?version=0"))
	third, err := f.Publish(text, "")
	must(t, err)
	inForce(t, f, readyLimit, third)
}

// restartEmpty kills a router, starts it anew, and wants it to serve under a version in time.
func restartEmpty(t *testing.T, f *local.Fleet, r *local.Router, version uint64) {
	t.Helper()
	must(t, r.Restart())
	began := time.Now()
	must(t, f.WaitReady(emptyLimit))
	status, err := r.Status()
	must(t, err)
	if status.ConfigVersion != version {
		t.Errorf("%s is ready with version %d, not %d", r.Name, status.ConfigVersion, version)
	}
	t.Logf("%s ready and linked with all after %v", r.Name, time.Since(began).Round(time.Millisecond))
	a := do(t.Context(), call{
		router: r, team: f.Site.Teams[0], method: http.MethodGet, path: "/" + f.Site.Plain + f.Site.Harmless + "1",
		timeout: emptyLimit,
	})
	if a.status != http.StatusOK || a.broken != nil {
		t.Errorf("%s answered %d %s, broken %v", r.Name, a.status, a.body, a.broken)
	}
}

// watchVersions polls every router that says that it is ready; the function that it gives ends that and reports any older
// version than one that was in force before at the same router, in whichever process.
func watchVersions(t *testing.T, f *local.Fleet) func() {
	ctx, end := context.WithCancel(t.Context())
	t.Cleanup(end)
	fell := make([]error, len(f.Routers))
	polls := make([]int, len(f.Routers))
	var group sync.WaitGroup
	for i, r := range f.Routers {
		group.Go(func() {
			var newest uint64
			_ = local.Until(time.Minute, func() error {
				if ctx.Err() != nil {
					return nil
				}
				status, err := r.Status()
				if err != nil || !status.Ready {
					return errors.New("goes on")
				}
				polls[i]++
				if status.ConfigVersion < newest {
					fell[i] = fmt.Errorf("%s served under version %d after %d", r.Name, status.ConfigVersion, newest)
				}
				newest = max(newest, status.ConfigVersion)
				return errors.New("goes on")
			})
		})
	}
	return func() {
		end()
		group.Wait()
		if err := errors.Join(fell...); err != nil {
			t.Error(err)
		}
		t.Logf("polls of ready routers: %v", polls)
	}
}
