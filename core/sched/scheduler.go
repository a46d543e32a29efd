package sched

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

//go:generate stringer -type=Policy -linecomment -output=policy_string.go

// Policy is the order in which waiting requests are served.
type Policy int

// Policies. All but Fair are baselines for comparison.
const (
	Fair        Policy = iota // fair
	LeastLoaded               // leastLoaded
)

const (
	defaultReportLag  = 500 * time.Millisecond
	defaultStallLimit = 30 * time.Second
	defaultSettle     = 2 * time.Second
	defaultLocalSlack = 0.25

	// maxBasisAge is the age of a router's stamp from which a grant would expire on its way to the router.
	maxBasisAge = fleet.GrantLifetime - 150*time.Millisecond
	// transitTime is the time within which messages between routers usually arrive.
	transitTime = 50 * time.Millisecond
	// reviewPeriod is the time between two checks for changes that come without an event.
	reviewPeriod = 200 * time.Millisecond
)

// Settings are the parameters of a scheduler; zero fields take their defaults.
type Settings struct {
	Policy      Policy
	ReportLag   time.Duration // how much older than its stated age a load report may be; default 500 ms
	StallLimit  time.Duration // time without progress after which a server counts as stalled; default 30 s
	Settle      time.Duration // how long a grown quota waits for load reports while routers are missing; default 2 s
	LocalSlack  float64       // how much higher the load fraction of a server in the router's own data centre may be; default 0.25
	FirstReport time.Duration // how long a server gets no work before its first load report; default 0 s
	Anticipate  time.Duration // how long a free slot may wait for a team that is behind and was just served; default 0 s
}

// Batch holds the grants for one router.
type Batch struct {
	To     string
	Grants fleet.Grants
}

// Scheduler shares the servers of one cell among teams. Set the exported fields before use.
type Scheduler struct {
	Cell       fleet.Cell
	Self       string
	Term       uint64
	DataCentre string
	Settings   Settings
	Share      func(team string) int // share of a team; values below 1 count as 1

	Dropped uint64 // demands dropped as duplicates or out of order
	Expired uint64 // grants that expired before their router acknowledged them

	counter uint64 // number of grants issued
	order   uint64 // breaks ties between queue entries

	servers    map[string]*server
	configured []*server // servers of the configuration, sorted by name
	dirty      []*server // servers whose free slots must be recomputed
	freeSlots  int       // total over all servers
	reviewAt   time.Duration

	routers       map[string]*router
	routerList    []*router
	lenders       map[string]bool
	activeLenders int // lenders that sent a full demand
	routerCount   int // number of listed routers

	teams         map[string]*team
	backlog       queue   // teams with waiting requests, lowest level first
	idle          queue   // teams without waiting requests whose level is still above the scheduler's
	level         float64 // level of the team served last, before its charge; never decreases
	grants        map[uint64]*grant
	orphanGrants  map[uint64]*server // servers of orphans, by grant ID
	history       costHistory
	anticipated   []anticipation
	cancelled     []cancelledGrant // oldest first
	lowered       []Lowering
	limitsVersion uint64 // version of the limits sent to routers
	limitsDueAt   time.Duration
}

// Configure sets the cell's servers, the data centres out of service and the leaving servers. It reports
// whether any server came back into service.
func (s *Scheduler) Configure(now time.Duration, servers []rule.Server, out, leaving map[string]bool) bool {
	s.prepare()
	for _, v := range s.configured {
		v.configured = false
	}
	s.configured = s.configured[:0]
	restored := false
	for _, r := range servers {
		if r.Product != s.Cell.Product && s.Cell.Product != "" {
			continue
		}
		v := s.server(r.Name)
		stopped := v.stopped
		s.configure(now, v, r, out, leaving)
		restored = restored || stopped != fleet.ReasonNone && v.stopped == fleet.ReasonNone
		s.configured = append(s.configured, v)
	}
	sort.Slice(s.configured, func(i, j int) bool { return s.configured[i].rule.Name < s.configured[j].rule.Name })
	s.dropServers()
	s.refreshShares()
	s.reviewAt = now
	return restored
}

// dropServers removes servers that are neither configured nor in use.
func (s *Scheduler) dropServers() {
	for name, v := range s.servers {
		if v.configured {
			continue
		}
		s.markDirty(v)
		if v.outstanding+v.orphans == 0 {
			v.dropped = true
			s.freeSlots -= v.freeSlots
			v.freeSlots = 0
			delete(s.servers, name)
		}
	}
}

func (s *Scheduler) refreshShares() {
	for _, t := range s.teams {
		t.share = s.shareOf(t.name)
	}
}

func (s *Scheduler) shareOf(name string) float64 {
	if s.Share == nil {
		return 1
	}
	return float64(max(1, s.Share(name)))
}

// SetLenders sets the routers whose part of each limit this scheduler may use, and the number of listed routers.
// A lender counts once it has sent a full demand.
func (s *Scheduler) SetLenders(now time.Duration, lenders []string, listed int) {
	s.prepare()
	s.lenders = make(map[string]bool, len(lenders))
	for _, name := range lenders {
		s.lenders[name] = true
	}
	if listed != s.routerCount {
		s.updateQuota(now, s.activeLenders, listed)
	}
	s.countLenders(now)
	s.reviewAt = now
}

// countLenders counts the lenders that sent a full demand, and updates the quotas if the number changed.
func (s *Scheduler) countLenders(now time.Duration) {
	lenders := 0
	for _, r := range s.routerList {
		if r.full && s.lenders[r.name] {
			lenders++
		}
	}
	if lenders != s.activeLenders {
		s.updateQuota(now, lenders, s.routerCount)
	}
}

func (s *Scheduler) prepare() {
	if s.servers != nil {
		return
	}
	s.servers = map[string]*server{}
	s.routers = map[string]*router{}
	s.teams = map[string]*team{}
	s.grants = map[uint64]*grant{}
	s.orphanGrants = map[uint64]*server{}
	s.Settings = s.Settings.withDefaults()
}

func (t Settings) withDefaults() Settings {
	if t.ReportLag <= 0 {
		t.ReportLag = defaultReportLag
	}
	if t.StallLimit <= 0 {
		t.StallLimit = defaultStallLimit
	}
	if t.Settle <= 0 {
		t.Settle = defaultSettle
	}
	if t.LocalSlack <= 0 {
		t.LocalSlack = defaultLocalSlack
	}
	return t
}
