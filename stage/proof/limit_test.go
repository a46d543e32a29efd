package proof

import (
	"fmt"
	"slices"
	"testing"
	"time"

	proxy "mangolug.org/faults/fault"
	"mangolug.org/stage/local"
)

// checkLimits holds the most requests that each server ever had against its limit.
func checkLimits(t *testing.T, f *local.Fleet) {
	t.Helper()
	for _, s := range f.ServersOf(f.Site.Model) {
		all, err := s.EngineRecord()
		must(t, err)
		if all.PeakOpen > s.Limit {
			t.Errorf("%s had %d requests at once, its limit is %d", s.Name, all.PeakOpen, s.Limit)
		}
		if all.Crashes > 0 {
			t.Errorf("%s broke %d times", s.Name, all.Crashes)
		}
	}
	for _, s := range f.ServersOf(f.Site.Plain) {
		all, err := s.DeskRecord()
		must(t, err)
		if all.PeakOpen > s.Limit {
			t.Errorf("%s had %d calls at once, its limit is %d", s.Name, all.PeakOpen, s.Limit)
		}
	}
}

// scheduler gives the router that schedules a product, as the routers state it.
func scheduler(t *testing.T, f *local.Fleet, product string) *local.Router {
	t.Helper()
	var found *local.Router
	within(t, 5*time.Second, func() error {
		for _, r := range f.Routers {
			if !r.Running() {
				continue
			}
			status, err := r.Status()
			if err != nil {
				return err
			}
			for _, c := range status.Cells {
				if c.Cell == product+"/0" {
					found = r
					return nil
				}
			}
		}
		return fmt.Errorf("no router schedules %s", product)
	})
	return found
}

func TestLimitsThroughSchedulerLoss(t *testing.T) {
	for name, tt := range map[string]fault{"killed": killed(), "frozen": frozen()} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := start(t, settings(local.Carraig()))
			settled(t, f)
			l := startLoad(t, f, 30, 6, 40)
			l.waitFor(t, 10*time.Second, 30, answered)
			r := scheduler(t, f, f.Site.Model)
			must(t, tt.strike(r))
			l.waitFor(t, 10*time.Second, 30, answered)
			must(t, tt.mend(r))
			must(t, f.WaitReady(readyLimit))
			l.waitFor(t, 10*time.Second, 30, answered)
			check(t, f, l.stop())
			checkLimits(t, f)
		})
	}
}

// Every router is killed at once and starts empty, while engines still run what the lost routers had sent.
func TestLimitsWhenAllRestartEmpty(t *testing.T) {
	s := settings(local.Chenab())
	s.ServerFaults = true
	f := start(t, s)
	settled(t, f)
	most := len(f.ServersOf(f.Site.Model)) * f.EngineLimit
	long, results := fill(t, f, most)
	for _, s := range f.ServersOf(f.Site.Model) {
		must(t, s.Steer(fmt.Sprintf("linger?count=%d", pastAnswer.Milliseconds())))
	}
	for _, r := range f.Routers {
		must(t, r.Kill())
	}
	f.Faults.Set(proxy.Rule{DelayMillis: 30}) // load reports come later than demand
	results = append(results, long.stop()...)
	l := startLoad(t, f, 30, 6, 10) // so that requests wait as soon as a router listens
	for _, r := range f.Routers {
		must(t, r.Start())
	}
	must(t, f.WaitReady(readyLimit))
	must(t, open(t, f, most)) // else the restart took longer than the old requests
	l.waitFor(t, pastAnswer+5*time.Second, 200, answered)
	check(t, f, append(results, l.stop()...))
	checkLimits(t, f)
}

// fill has engines run so many long requests at once. Short ones go before, from which limits are learnt; that is done again when a
// limit was lowered since, as requests that outlast their callers don't raise it.
func fill(t *testing.T, f *local.Fleet, most int) (*load, []result) {
	t.Helper()
	var results []result
	for range fillTries {
		short := startLoad(t, f, 30, 0, 10)
		short.waitFor(t, 10*time.Second, 100, answered)
		results = append(results, short.stop()...)
		long := startLoad(t, f, 30, 6, longAnswer)
		if local.Until(callTimeout/2, func() error { return open(t, f, most) }) == nil {
			return long, results
		}
		results = append(results, long.stop()...)
	}
	t.Fatalf("engines did not run %d requests at once", most)
	return nil, nil
}

// open wants engines to have so many requests open.
func open(t *testing.T, f *local.Fleet, least int) error {
	t.Helper()
	count := 0
	for _, s := range f.ServersOf(f.Site.Model) {
		all, err := s.EngineRecord()
		must(t, err)
		for _, run := range all.Runs {
			if run.EndedAt == 0 {
				count++
			}
		}
	}
	if count < least {
		return fmt.Errorf("engines have %d requests open, want %d", count, least)
	}
	return nil
}

const (
	fillTries  = 3
	longAnswer = 1500            // tokens of an answer that outlasts a restart of all routers
	pastAnswer = 8 * time.Second // longer than such an answer takes
)

// split holds all that passes between one router and the others.
func split(f *local.Fleet, alone *local.Router) {
	for _, r := range f.Routers {
		if r == alone {
			f.Faults.Set(proxy.Rule{Link: r.Name, HoldRequests: true, HoldAnswers: true})
			continue
		}
		f.Faults.Set(proxy.Rule{Link: r.Name, Source: alone.IP, HoldRequests: true, HoldAnswers: true})
	}
}

// Both sides of a partition go on, and neither they nor the rejoined fleet overload a server or run a key twice.
func TestPartitionAndRejoin(t *testing.T) {
	s := settings(local.Chenab())
	s.PeerFaults = true
	f := start(t, s)
	settled(t, f)
	l := startLoad(t, f, 24, 9, 30)
	l.waitFor(t, 10*time.Second, 24, answered)
	alone := scheduler(t, f, f.Site.Model)
	split(f, alone)
	for _, side := range [][]*local.Router{{alone}, f.Routers} {
		l.waitFor(t, 10*time.Second, 6, func(r result) bool {
			return answered(r) && r.completion != nil && time.Since(r.at) < 5*time.Second && slices.Contains(side, r.call.router)
		})
	}
	elapse(t, pastLeases)
	f.Faults.Clear("")
	must(t, f.WaitReady(readyLimit))
	l.waitFor(t, 10*time.Second, 24, answered)
	check(t, f, l.stop())
	checkLimits(t, f)
}

// Engines that start cold get no more than they can serve.
func TestColdEngines(t *testing.T) {
	s := settings(local.Chenab())
	s.EngineLimit = 8
	s.EngineArgs = append(s.EngineArgs, "--cold", "--cold-limit", "2", "--warm-after", "2")
	f := start(t, s)
	l := startLoad(t, f, 30, 0, 20)
	l.waitFor(t, 15*time.Second, 100, answered)
	check(t, f, l.stop())
	checkLimits(t, f)
}

// Engines turn cold under full load without warning. What they had open then may break them once; after
// that they get no more than they can serve, and the callers are served again.
func TestEnginesTurnColdWithoutWarning(t *testing.T) {
	s := settings(local.Carraig())
	s.EngineLimit = 8
	s.EngineArgs = append(s.EngineArgs, "--cold-limit", "2", "--warm-after", "2")
	f := start(t, s)
	l := startLoad(t, f, 30, 0, 20)
	l.waitFor(t, 15*time.Second, 100, answered)
	engines := f.ServersOf(f.Site.Model)
	for range 2 {
		for _, e := range engines {
			must(t, e.Steer("cold"))
		}
		l.waitFor(t, 15*time.Second, 100, answered)
	}
	check(t, f, l.stop())
	for _, e := range engines {
		all, err := e.EngineRecord()
		must(t, err)
		if all.Crashes > 2 || all.PeakOpen > e.Limit {
			t.Errorf("%s broke %d times after it turned cold twice, and had %d requests at once", e.Name, all.Crashes, all.PeakOpen)
		}
	}
}
