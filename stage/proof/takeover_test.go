package proof

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/stage/local"
)

const (
	takeoverLimit = 2 * time.Second // until a lost duty is held by another router
	serviceSlack  = time.Second     // for a request to be served once it may be
)

// part gives a fleet's callers only some of its routers.
func part(f *local.Fleet, routers ...*local.Router) *local.Fleet {
	return &local.Fleet{Settings: f.Settings, Routers: routers, Servers: f.Servers}
}

func without(f *local.Fleet, lost *local.Router) []*local.Router {
	return slices.DeleteFunc(slices.Clone(f.Routers), func(r *local.Router) bool { return r == lost })
}

// servedSince says that a call which was made after a time is answered.
func servedSince(at time.Time) func(result) bool {
	return func(r result) bool { return answered(r) && r.at.Add(r.took).After(at) }
}

// A cell's scheduler is lost; callers of the other routers are served again within the limit of a takeover.
func TestTakeover(t *testing.T) {
	for name, tt := range map[string]fault{"killed": killed(), "frozen": frozen()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, settings(local.Chenab()))
			lost := scheduler(t, f, f.Site.Model)
			l := startLoad(t, part(f, without(f, lost)...), 12, 0, 20)
			l.waitFor(t, 10*time.Second, 24, answered)
			must(t, tt.strike(lost))
			at := time.Now().Add(takeoverLimit)
			elapse(t, takeoverLimit)
			l.waitFor(t, serviceSlack, 12, servedSince(at))
			must(t, tt.mend(lost))
			check(t, f, l.stop())
			checkLimits(t, f)
		})
	}
}

// Both sides of a partition serve their own callers, who each stay with one router: the larger side after
// the limit of a takeover, the smaller, which schedules with what it may use alone, as well.
func TestBothSidesOfAPartitionServe(t *testing.T) {
	for name, site := range map[string]local.Site{"chenab": local.Chenab(), "carraig": local.Carraig()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := settings(site)
			s.PeerFaults = true
			f := start(t, s)
			alone := scheduler(t, f, f.Site.Model)
			loads := map[*local.Router]*load{}
			for _, r := range f.Routers {
				loads[r] = startLoad(t, part(f, r), 4, 0, 20)
			}
			for _, l := range loads {
				l.waitFor(t, 10*time.Second, 12, answered)
			}
			split(f, alone)
			at := time.Now().Add(takeoverLimit)
			elapse(t, takeoverLimit)
			for _, r := range without(f, alone) {
				t.Run("larger side "+r.Name, func(t *testing.T) { loads[r].waitFor(t, serviceSlack, 4, servedSince(at)) })
			}
			t.Run("smaller side", func(t *testing.T) { loads[alone].waitFor(t, takeoverLimit+serviceSlack, 4, servedSince(at)) })
			f.Faults.Clear("")
			must(t, f.WaitReady(readyLimit))
			var results []result
			for _, l := range loads {
				results = append(results, l.stop()...)
			}
			check(t, f, results)
			checkLimits(t, f)
		})
	}
}

// learnt gives the limit of each engine that its scheduler learnt.
func learnt(f *local.Fleet) (map[string]int, error) {
	limits := map[string]int{}
	for _, r := range f.Routers {
		if !r.Running() {
			continue
		}
		status, err := r.Status()
		if err != nil {
			return nil, err
		}
		for _, c := range status.Cells {
			if c.Cell != f.Site.Model+"/0" || c.Lenders == 0 {
				continue
			}
			for _, v := range c.Servers {
				limits[v.Name] = v.Learnt
			}
		}
	}
	if len(limits) == 0 {
		return nil, errors.Errorf("no router schedules %s", f.Site.Model)
	}
	return limits, nil
}

// The scheduler of an idle cell is lost; the next one goes by the learnt limits, but not for engines that turned cold.
func TestTakeoverOfLearntLimits(t *testing.T) {
	for name, cold := range map[string]bool{"as they were": false, "turned cold": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := settings(local.Carraig())
			s.EngineLimit = 8
			s.EngineArgs = append(s.EngineArgs, "--cold-limit", "1", "--warm-after", "1")
			f := start(t, s)
			settled(t, f)
			l := startLoad(t, f, 30, 0, 20)
			l.waitFor(t, 15*time.Second, 100, answered)
			results := l.stop()
			elapse(t, 2*time.Second) // limits are told each second
			before, err := learnt(f)
			must(t, err)
			must(t, scheduler(t, f, f.Site.Model).Kill())
			for _, e := range f.ServersOf(f.Site.Model) {
				if cold {
					must(t, e.Steer("cold"))
				}
			}
			if !cold {
				within(t, 5*time.Second, func() error {
					after, err := learnt(f)
					for name, limit := range before {
						if err == nil && after[name] < limit {
							err = errors.Errorf("%s has limit %d, had %d", name, after[name], limit)
						}
					}
					return err
				})
			}
			l = startLoad(t, part(f, slices.DeleteFunc(slices.Clone(f.Routers), func(r *local.Router) bool { return !r.Running() })...), 30, 0, 20)
			l.waitFor(t, 15*time.Second, 100, answered)
			check(t, f, append(results, l.stop()...))
			checkLimits(t, f)
		})
	}
}
