package proof

import (
	"testing"
	"time"

	"mangolug.org/stage/local"
)

const (
	levelLimit  = 2 * time.Second // after rejoining until teams of both sides are served by their shares
	levelWindow = 2 * time.Second // in which their service is compared
)

// teamLoad starts callers of one team's model calls at some routers.
func teamLoad(t *testing.T, f *local.Fleet, team local.Team, callers int, routers ...*local.Router) *load {
	t.Helper()
	p := part(f, routers...)
	p.Site.Teams = []local.Team{team}
	return startLoad(t, p, callers, 0, 20)
}

// Two backlogged teams of equal share, one with callers on each side of a partition only, are served alike once the sides have
// rejoined, however many callers each has: within 3 D(f, g) of docs/design/sharing.md, where all requests cost the same.
func TestSharesLevelOutAfterRejoining(t *testing.T) {
	s := settings(local.Carraig())
	s.PeerFaults = true
	f := start(t, s)
	alone := scheduler(t, f, f.Site.Model)
	small, large := f.Site.Teams[3], f.Site.Teams[4]
	loads := []*load{teamLoad(t, f, small, 18, alone), teamLoad(t, f, large, 48, without(f, alone)...)}
	for _, l := range loads {
		l.waitFor(t, 10*time.Second, 60, answered)
	}
	split(f, alone)
	elapse(t, pastLeases)
	loads[1].waitFor(t, 10*time.Second, 60, answered)
	f.Faults.Clear("")
	must(t, f.WaitReady(readyLimit))
	elapse(t, levelLimit)
	from := time.Now()
	elapse(t, levelWindow)
	until := time.Now()
	served := make([]int, len(loads))
	var results []result
	for i, l := range loads {
		served[i] = l.count(func(r result) bool {
			end := r.at.Add(r.took)
			return answered(r) && end.After(from) && end.Before(until)
		})
		results = append(results, l.stop()...)
	}
	slots := len(f.ServersOf(f.Site.Model)) * f.EngineLimit
	gap, bound := max(served[0]-served[1], served[1]-served[0]), 3*slots
	t.Logf("requests served in %v: %v, gap %d, bound %d", levelWindow, served, gap, bound)
	if gap > bound || served[0]+served[1] <= 2*bound {
		t.Errorf("%s got %d requests, %s got %d; a gap of %d is allowed", small.Name, served[0], large.Name, served[1], bound)
	}
	check(t, f, results)
	checkLimits(t, f)
}
