package member

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// Time constants of the membership protocol that no other package uses.
const (
	// DefaultListLag is the list lag when Settings.ListLag is zero.
	DefaultListLag = 10 * time.Second
	// rejoinDelay is how long a lost peer must be heard without a gap before it is live again. It doubles with each loss.
	rejoinDelay = 500 * time.Millisecond
	// rejoinDelayLimit is the upper bound of the doubled rejoin delay.
	rejoinDelayLimit = 8 * time.Second
	// lossMemory is how long a peer must stay live before its loss count is reset.
	lossMemory = 30 * time.Second
	// wallJump is the largest divergence of wall and monotonic clock between two calls of CheckWallClock that does not count as a wake.
	wallJump = 500 * time.Millisecond
)

// Settings holds the operator's membership settings. Zero values mean the defaults.
type Settings struct {
	ListLag time.Duration // upper bound on how long two routers may use different versions of the platform's list
}

// Members is one router's view of the fleet membership. It is ready to use once Self is set.
type Members struct {
	Self        string
	DataCentre  string
	Incarnation uint64
	Settings    Settings

	// ConfigVersion is the configuration version in force, which heartbeats advertise.
	ConfigVersion uint64

	vms      map[string]fleet.VM
	lists    []list // lists replaced within ListLag, then the current list
	peers    map[string]*peer
	byHash   map[uint32]*peer
	views    history // of this router's own views
	viewSeq  uint64  // number of changes of the own view
	viewLog  viewLog // of this router's own views
	interned [][]uint32
	draining bool

	advertisedVersion  uint64 // configuration version in the latest heartbeats
	advertisedDraining bool
	ticked             bool
	lastTick           time.Duration
	wallKnown          bool
	wallOffset         time.Duration // wall clock minus monotonic clock
	wokeAt             time.Duration
	everWoke           bool
	minimumEcho        int64         // echoes of older stamps are ignored
	historyStart       time.Duration // start of the period for which views is complete
	exclusive          bool          // no router still counts this one as lender under an earlier view
	lastStamp          int64         // stamp of the newest heartbeat sent

	ignoreAge bool // skips the view age check; only tests set it
}

// list is one version of the platform's router list.
type list struct {
	names    []string // in ascending order
	replaced time.Duration
}

// peer is the state kept for another router.
type peer struct {
	name        string
	hash        uint32
	incarnation uint64
	started     time.Duration // time of the first heartbeat of this incarnation
	stamp       int64         // newest stamp received
	echo        int64         // own stamp echoed by the newest heartbeat; 0 for none
	acked       int64         // newest own stamp that this incarnation acknowledged
	viewLog     viewLog
	needsEcho   bool // its view changed, so it must get an echo at once
	views       history
	draining    bool
	version     uint64

	lastHeard      time.Duration // time of the newest heartbeat
	everHeard      bool
	lastConfirmed  time.Duration // newest own stamp that the peer acknowledged
	refused        bool          // a connection to it was refused since its newest heartbeat
	live           bool
	liveSince      time.Duration
	everLive       bool
	returningSince time.Duration // start of the gap-free heartbeats of a peer that is not yet live
	returning      bool
	losses         int
	lastSent       time.Duration // time of the newest heartbeat to it
	everSent       bool
}

// UpdateList sets the platform's list. VMs that are not routers are skipped, and a list without routers is ignored.
func (m *Members) UpdateList(now time.Duration, vms []fleet.VM) {
	m.expireLists(now)
	names := make([]string, 0, len(vms))
	known := make(map[string]fleet.VM, len(vms))
	for _, v := range vms {
		if _, duplicate := known[v.Name]; v.Router && !duplicate {
			names = append(names, v.Name)
			known[v.Name] = v
		}
	}
	if len(names) == 0 {
		return
	}
	slices.Sort(names)
	m.vms = known
	if n := len(m.lists); n > 0 {
		if slices.Equal(m.lists[n-1].names, names) {
			return
		}
		m.lists[n-1].replaced = now
	}
	m.lists = append(m.lists, list{names: names})
	for _, name := range names {
		if name != m.Self {
			m.peer(name)
		}
	}
}

// peer returns the state of a router, creating it if needed.
func (m *Members) peer(name string) *peer {
	if p, found := m.peers[name]; found {
		return p
	}
	if m.peers == nil {
		m.peers, m.byHash = map[string]*peer{}, map[uint32]*peer{}
	}
	p := &peer{name: name, hash: Hash(name)}
	m.peers[name], m.byHash[p.hash] = p, p
	return p
}

// expireLists drops replaced lists that no router can still use.
func (m *Members) expireLists(now time.Duration) {
	m.lists = slices.DeleteFunc(m.lists, func(l list) bool {
		return l.replaced > 0 && now-l.replaced > m.listLag()
	})
}

func (m *Members) listLag() time.Duration {
	if m.Settings.ListLag > 0 {
		return m.Settings.ListLag
	}
	return DefaultListLag
}

// listed returns the names on the current list in ascending order.
func (m *Members) listed() []string {
	if len(m.lists) == 0 {
		return nil
	}
	return m.lists[len(m.lists)-1].names
}

func (m *Members) isListed(name string) bool {
	_, found := slices.BinarySearchFunc(m.listed(), name, strings.Compare)
	return found
}

// Live returns the live listed routers, this one included, in ascending order.
func (m *Members) Live() []string {
	var live []string
	for _, name := range m.listed() {
		if name == m.Self || m.peers[name].live {
			live = append(live, name)
		}
	}
	return live
}

// Drain stops this router from taking duties. It still acts as lender for other routers.
func (m *Members) Drain(now time.Duration) {
	m.expireLists(now)
	m.draining = true
}

// Holder returns the router that this router's own view names for a duty, or "" if the view is empty.
func (m *Members) Holder(duty string) string {
	winner, ok := Winner(m.views.latest(), duty)
	if !ok {
		return ""
	}
	for _, name := range m.listed() {
		if Hash(name) == winner {
			return name
		}
	}
	return ""
}
