package proof

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

const confLimit = 5 * time.Second // until an accepted configuration is in force everywhere

// One fleet goes through all that the platform's service may do to a configuration.
func TestConfiguration(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	rules := func(n int) string { return fmt.Sprintf("# edition %d\n%s", n, f.Rules()) }
	publish := func(text string) uint64 {
		version, err := f.Publish(text, "")
		must(t, err)
		return version
	}
	began := time.Now()

	second := publish(rules(2))
	inForce(t, f, confLimit, second)

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

	// It is down for one router, which learns a new version from its peers.
	must(t, f.SteerPlatform("down?on=true&reader="+f.Routers[2].IP))
	third := publish(rules(3))
	inForce(t, f, confLimit, third)
	must(t, f.SteerPlatform("down?on=false&reader="+f.Routers[2].IP))

	// A bad file between two good ones is refused whole.
	bad := publish(rules(4) + "nonsense here # asked by nobody\n")
	refusedEverywhere(t, f, bad)
	inForce(t, f, 0, third)
	fifth := publish(rules(5))
	inForce(t, f, confLimit, fifth)

	// Two operators publish at once.
	var publishers sync.WaitGroup
	for n := range 2 {
		publishers.Go(func() { _, _ = f.Publish(rules(6+n), "") })
	}
	publishers.Wait()
	inForce(t, f, confLimit, fifth+2)

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
