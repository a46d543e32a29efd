package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	proxy "mangolug.org/faults/fault"
	"mangolug.org/stage/local"
)

const confLimit = 5 * time.Second // until an accepted configuration is in force everywhere

// One fleet goes through all that the platform's service may do to a configuration.
func TestConfiguration(t *testing.T) {
	s := settings(local.Chenab())
	s.PeerFaults, s.PlatFaults = true, true
	f := start(t, s)
	rules := func(n int) string { return fmt.Sprintf("# edition %d\n%s", n, f.Rules()) }
	publish := func(text string) uint64 {
		version, err := f.Publish(text, "")
		must(t, err)
		return version
	}
	began := time.Now()

	second := publish(rules(2))
	inForce(t, f, confLimit, second)
	watched := watchVersions(t, f)

	// The service is down: a router that starts empty learns the version from its peers.
	must(t, f.SteerPlatform("down?on=true"))
	must(t, f.Routers[0].Restart())
	inForce(t, f, readyLimit, second)
	must(t, f.SteerPlatform("down?on=false"))

	// It serves an older version, and a router starts empty meanwhile.
	must(t, f.SteerPlatform("serve?version=1"))
	must(t, f.Routers[1].Restart())
	readyWith(t, f.Routers[1], second)
	inForce(t, f, readyLimit, second)
	elapse(t, time.Second)
	inForce(t, f, 0, second)
	must(t, f.SteerPlatform("serve?version=0"))

	// One router does not reach it, and learns a new version from its peers.
	f.Faults.Set(proxy.Rule{Link: f.Routers[2].PlatLink, Cut: true})
	third := publish(rules(3))
	inForce(t, f, confLimit, third)
	f.Faults.Clear(f.Routers[2].PlatLink)

	// One router reaches neither platform nor peers, and comes back with an older version than theirs.
	split(f, f.Routers[1])
	f.Faults.Set(proxy.Rule{Link: f.Routers[1].PlatLink, Cut: true})
	elapse(t, pastLeases)
	fourth := publish(rules(4))
	inForce(t, part(f, without(f, f.Routers[1])...), confLimit, fourth)
	inForce(t, part(f, f.Routers[1]), 0, third)
	f.Faults.Clear("")
	inForce(t, f, confLimit, fourth)
	elapse(t, time.Second)
	inForce(t, f, 0, fourth)

	// A bad file between two good ones is refused whole.
	bad := publish(rules(5) + "nonsense here # asked by nobody\n")
	refusedEverywhere(t, f, bad)
	inForce(t, f, 0, fourth)
	sixth := publish(rules(6))
	inForce(t, f, confLimit, sixth)

	// Two operators publish at once.
	var publishers sync.WaitGroup
	for n := range 2 {
		publishers.Go(func() { _, _ = f.Publish(rules(7+n), "") })
	}
	publishers.Wait()
	inForce(t, f, confLimit, sixth+2)
	watched()

	counts, err := f.PlatformCounts()
	must(t, err)
	perSecond := float64(counts.Total) / time.Since(began).Seconds()
	t.Logf("%d calls to the platform, %.1f a second, %d refused", counts.Total, perSecond, counts.Refused)
	if counts.Refused > 0 || counts.PeakSecond > counts.LimitSecond/10 {
		t.Errorf("%d calls in one second, %d refused", counts.PeakSecond, counts.Refused)
	}
}

// readyWith waits until a router takes requests, which it may not do under an older version than is in force elsewhere.
func readyWith(t *testing.T, r *local.Router, version uint64) {
	t.Helper()
	within(t, readyLimit, func() error {
		status, err := r.Status()
		if err != nil {
			return err
		}
		if !status.Ready {
			return fmt.Errorf("%s is not ready", r.Name)
		}
		if status.ConfigVersion < version {
			t.Errorf("%s takes requests under version %d, %d is in force", r.Name, status.ConfigVersion, version)
		}
		return nil
	})
}

// refusedEverywhere waits until every router states why it refused the newest version.
func refusedEverywhere(t *testing.T, f *local.Fleet, version uint64) {
	t.Helper()
	within(t, confLimit, func() error {
		for _, r := range f.Routers {
			status, err := r.Status()
			if err != nil {
				return err
			}
			if status.ConfigRefused == "" {
				return fmt.Errorf("%s says nothing of version %d", r.Name, version)
			}
		}
		return nil
	})
}
