package proof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

const outLimit = 3 * time.Second // until a data centre that is out, or a server that leaves, gets no new work

// runsSince gives the runs that a server took after a time.
func runsSince(t *testing.T, f *local.Fleet, s local.Server, at time.Time) int {
	t.Helper()
	count := 0
	if s.Product == f.Site.Model {
		all, err := s.EngineRecord()
		must(t, err)
		for _, run := range all.Runs {
			if run.ArrivedAt > at.UnixMilli() {
				count++
			}
		}
		return count
	}
	all, err := s.DeskRecord()
	must(t, err)
	for _, run := range all.Runs {
		if run.StartedAt > at.UnixMilli() {
			count++
		}
	}
	return count
}

// quietSince wants servers to have taken no work after a time.
func quietSince(t *testing.T, f *local.Fleet, servers []local.Server, at time.Time) {
	t.Helper()
	for _, s := range servers {
		if ran := runsSince(t, f, s, at); ran > 0 {
			t.Errorf("%s in %s took %d requests later than %v after it was to get none", s.Name, s.DataCentre, ran, outLimit)
		}
	}
}

func serversIn(f *local.Fleet, dataCentre string) []local.Server {
	return slices.DeleteFunc(slices.Clone(f.Servers), func(s local.Server) bool { return s.DataCentre != dataCentre })
}

func allAnswered(t *testing.T, results []result) {
	t.Helper()
	for _, r := range results {
		if end := ending(r); end != "answered" {
			t.Errorf("a caller saw %s: %s %v", end, r.answer.body, r.answer.broken)
		}
	}
}

// inForce waits until every running router has a version in force.
func inForce(t *testing.T, f *local.Fleet, limit time.Duration, version uint64) {
	t.Helper()
	within(t, limit, func() error {
		for _, r := range f.Routers {
			if !r.Running() {
				continue
			}
			status, err := r.Status()
			if err != nil {
				return err
			}
			if status.ConfigVersion != version {
				return fmt.Errorf("%s has version %d in force, not %d", r.Name, status.ConfigVersion, version)
			}
		}
		return nil
	})
}

func TestDataCentreOutAndBack(t *testing.T) {
	f := start(t, settings(local.Carraig()))
	out := f.Site.DataCentres[0]
	settled(t, f)
	l := startLoad(t, f, 12, 6, 30)
	l.waitFor(t, 10*time.Second, 30, answered)
	version, err := f.Publish(f.Rules(out), "")
	must(t, err)
	quiet := time.Now().Add(outLimit)
	elapse(t, outLimit)
	l.waitFor(t, 10*time.Second, 60, answered)
	quietSince(t, f, serversIn(f, out), quiet)
	inForce(t, f, 0, version)
	back := time.Now()
	_, err = f.Publish(f.Rules(), "")
	must(t, err)
	within(t, 10*time.Second, func() error {
		for _, s := range f.Servers {
			if runsSince(t, f, s, back) == 0 {
				return fmt.Errorf("%s has no work again", s.Name)
			}
		}
		return nil
	})
	results := l.stop()
	check(t, f, results)
	checkLimits(t, f)
	allAnswered(t, results)
}

// Engines that turned cold while their data centre was out of service, or that restart just before it comes back, get no more
// than they can serve.
func TestDataCentreComesBackCold(t *testing.T) {
	for name, tt := range map[string]struct {
		order  string
		before time.Duration // from the order until the data centre comes back
	}{
		"turned cold": {"cold", time.Second},
		"restarted":   {"restart", 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := settings(local.Chenab())
			s.EngineLimit = 8
			s.EngineArgs = append(s.EngineArgs, "--cold-limit", "1", "--warm-after", "1")
			f := start(t, s)
			out := f.Site.DataCentres[0]
			settled(t, f)
			l := startLoad(t, f, 30, 0, 20)
			l.waitFor(t, 15*time.Second, 100, answered)
			_, err := f.Publish(f.Rules(out), "")
			must(t, err)
			elapse(t, outLimit)
			for _, e := range enginesIn(f, out) {
				must(t, e.Steer(tt.order))
			}
			elapse(t, tt.before)
			back := time.Now()
			_, err = f.Publish(f.Rules(), "")
			must(t, err)
			within(t, 10*time.Second, func() error {
				for _, e := range enginesIn(f, out) {
					if runsSince(t, f, e, back) < 100 {
						return fmt.Errorf("%s has little work again", e.Name)
					}
				}
				return nil
			})
			check(t, f, l.stop())
			checkLimits(t, f)
		})
	}
}

func enginesIn(f *local.Fleet, dataCentre string) []local.Server {
	return slices.DeleteFunc(f.ServersOf(f.Site.Model), func(e local.Server) bool { return e.DataCentre != dataCentre })
}

func TestLeavingServer(t *testing.T) {
	f := start(t, settings(local.Chenab()))
	leaving := []local.Server{f.ServersOf(f.Site.Model)[0], f.ServersOf(f.Site.Plain)[0]}
	settled(t, f)
	l := startLoad(t, f, 12, 6, 30)
	l.waitFor(t, 10*time.Second, 30, answered)
	must(t, f.PublishVMs(f.VMs(leaving[0].Name, leaving[1].Name)))
	quiet := time.Now().Add(outLimit)
	elapse(t, outLimit)
	l.waitFor(t, 10*time.Second, 60, answered)
	quietSince(t, f, leaving, quiet)
	results := l.stop()
	check(t, f, results)
	allAnswered(t, results)
}
