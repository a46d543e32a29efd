package sched

import (
	"sort"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

//go:generate stringer -type=Policy -linecomment -output=policy_string.go

// Policy orders the waiting requests.
type Policy int

// Policies; all but Fair are baselines to measure against.
const (
	Fair        Policy = iota // fair
	LeastLoaded               // leastLoaded
)

const (
	defaultReportLag  = 500 * time.Millisecond
	defaultStallLimit = 30 * time.Second
	defaultSettle     = 2 * time.Second
	defaultLocalSlack = 0.25

	// staleBasis is the age of a router's stamp at which a grant would lapse on the way.
	staleBasis = fleet.GrantLifetime - 150*time.Millisecond
	// transit is the time within which messages between routers usually arrive.
	transit = 50 * time.Millisecond
	// reviewPeriod is the time between two looks at what changes without an event.
	reviewPeriod = 200 * time.Millisecond
)

// Settings tune a scheduler; zero fields take their defaults.
type Settings struct {
	Policy      Policy
	ReportLag   time.Duration // how old a load report may be beyond its stated age; 500 ms
	StallLimit  time.Duration // time without progress that sets a server aside; 30 s
	Settle      time.Duration // how long a larger part waits for load reports while routers are missing; 2 s
	LocalSlack  float64       // load fraction by which a server in the router's data centre may be fuller; 0.25
	FirstReport time.Duration // how long a server gets no work until its own report is read; 0 s
	Anticipate  time.Duration // how long a free slot may wait for a team that is behind and has just been served; 0 s
}

// Batch is the grants for one router.
type Batch struct {
	To     string
	Grants fleet.Grants
}

// Scheduler shares one cell's servers among teams; set the exported fields before use.
type Scheduler struct {
	Cell       fleet.Cell
	Self       string
	Term       uint64
	DataCentre string
	Settings   Settings
	Share      func(team string) int // share of a team, below 1 counts as 1

	Dropped uint64 // demands dropped as duplicate or out of order
	Lapsed  uint64 // grants that no router took up in time

	counter uint64 // grants given
	order   uint64 // ties between queue entries

	servers map[string]*server
	listed  []*server // servers of the configuration, by name
	dirty   []*server // servers whose room is to be worked out again
	room    int       // requests that the servers still take
	review  time.Duration

	routers map[string]*router
	byName  []*router
	lenders map[string]bool
	lent    int // lenders that sent all their demand
	fleet   int // listed routers

	teams    map[string]*team
	backlog  queue   // teams with waiting requests, least level first
	idle     queue   // teams without, that are still ahead of the rest
	level    float64 // of the team served last, before its charge; it never falls
	grants   map[uint64]*grant
	lost     map[uint64]*server // orphans
	memory   memory
	expected []expectation
	hungUp   []hangUp // oldest first
	lowered  []Lowering
	limits   uint64 // version of the limits that routers keep
	limitsAt time.Duration
}

// Configure sets the cell's servers, the data centres out of service and the leaving servers; it says whether any server
// came back into service.
func (s *Scheduler) Configure(now time.Duration, servers []rule.Server, out, leaving map[string]bool) bool {
	s.prepare()
	for _, v := range s.listed {
		v.present = false
	}
	s.listed = s.listed[:0]
	back := false
	for _, r := range servers {
		if r.Product != s.Cell.Product && s.Cell.Product != "" {
			continue
		}
		v := s.server(r.Name)
		stopped := v.stopped
		s.configure(now, v, r, out, leaving)
		back = back || stopped != fleet.ReasonNone && v.stopped == fleet.ReasonNone
		s.listed = append(s.listed, v)
	}
	sort.Slice(s.listed, func(i, j int) bool { return s.listed[i].rule.Name < s.listed[j].rule.Name })
	s.dropServers()
	s.refreshShares()
	s.review = now
	return back
}

// dropServers forgets servers that are neither configured nor in use.
func (s *Scheduler) dropServers() {
	for name, v := range s.servers {
		if v.present {
			continue
		}
		s.touch(v)
		if v.outstanding+v.orphans == 0 {
			v.dropped = true
			s.room -= v.room
			v.room = 0
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

// Lend names the listed routers whose part of each limit may be used, once each sent all its demand.
func (s *Scheduler) Lend(now time.Duration, lenders []string, listed int) {
	s.prepare()
	s.lenders = make(map[string]bool, len(lenders))
	for _, name := range lenders {
		s.lenders[name] = true
	}
	if listed != s.fleet {
		s.unsettle(now, s.lent, listed)
	}
	s.countLent(now)
	s.review = now
}

// countLent counts the lenders that sent a full demand.
func (s *Scheduler) countLent(now time.Duration) {
	lent := 0
	for _, r := range s.byName {
		if r.full && s.lenders[r.name] {
			lent++
		}
	}
	if lent != s.lent {
		s.unsettle(now, lent, s.fleet)
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
	s.lost = map[uint64]*server{}
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
