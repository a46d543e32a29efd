package member

import (
	"slices"
	"strings"
	"time"

	"mangolug.org/core/fleet"
)

// Times of membership that are this package's own.
const (
	// DefaultListLag is used where Settings leaves ListLag zero.
	DefaultListLag = 10 * time.Second
	// rejoinDelay is how long a peer that was lost must be heard without a gap before it is live again; it doubles with each loss.
	rejoinDelay = 500 * time.Millisecond
	// rejoinDelayLimit bounds the doubling.
	rejoinDelayLimit = 8 * time.Second
	// lossMemory is how long a peer must stay live for its losses to be forgotten.
	lossMemory = 30 * time.Second
	// wallJump is how far wall and monotonic clock may part between two steps.
	wallJump = 500 * time.Millisecond
)

// Settings are what an operator may set of membership; zero values mean the defaults.
type Settings struct {
	ListLag time.Duration // bound on how long two routers may see different versions of the platform's list
}

// Members is one router's account of the fleet; it is ready to use once Self is set.
type Members struct {
	Self        string
	DataCentre  string
	Incarnation uint64
	Settings    Settings

	// ConfigVersion is the configuration version in force, told in heartbeats.
	ConfigVersion uint64

	vms      map[string]fleet.VM
	lists    []list // the current list last, before it those replaced within ListLag
	peers    map[string]*peer
	byHash   map[uint32]*peer
	views    history // of this router's own view
	viewSeq  uint64  // counts its changes
	trail    trail   // of them
	interned [][]uint32
	draining bool

	told        uint64 // configuration version in the last heartbeats
	toldDrain   bool
	ticked      bool
	lastTick    time.Duration
	wallKnown   bool
	wallOffset  time.Duration // wall clock less monotonic clock
	woke        time.Duration
	wokeEver    bool
	oldestStamp int64         // echoes of stamps before it count for nothing
	historyFrom time.Duration // since when views knows all own views
	sole        bool          // no router counts this one under an earlier view
	lastStamp   int64         // of the newest heartbeat sent

	ignoreAge bool // a weakened rule, set by tests alone
}

// list is one version of the platform's list of routers.
type list struct {
	names    []string // ascending
	replaced time.Duration
}

// peer is what is known of another router.
type peer struct {
	name        string
	hash        uint32
	incarnation uint64
	begun       time.Duration // first heartbeat of this incarnation
	stamp       int64         // newest received
	echo        int64         // own stamp that the newest heartbeat echoed; 0 for none
	acked       int64         // newest own stamp known to have been taken by this incarnation
	trail       trail
	answer      bool // its view changed, so it waits for an echo
	views       history
	draining    bool
	version     uint64

	heard     time.Duration // newest heartbeat
	heardEver bool
	confirmed time.Duration // newest own stamp known to have reached the peer
	refused   bool          // a connection to it was refused since it was last heard
	live      bool
	liveSince time.Duration
	liveEver  bool
	backSince time.Duration // heard without a gap since, while not live
	back      bool
	losses    int
	sent      time.Duration // last heartbeat to it
	sentEver  bool
}

// List takes the platform's list; only routers matter, and a list without any is not believed.
func (m *Members) List(now time.Duration, vms []fleet.VM) {
	m.step(now)
	names := make([]string, 0, len(vms))
	known := make(map[string]fleet.VM, len(vms))
	for _, v := range vms {
		if _, twice := known[v.Name]; v.Router && !twice {
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

// peer gives the record of a router, made if there is none.
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

// step drops lists that no router may still see.
func (m *Members) step(now time.Duration) {
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

// listed gives the names on the current list, ascending.
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

// Live gives the listed routers that are live, this one included, ascending.
func (m *Members) Live() []string {
	var live []string
	for _, name := range m.listed() {
		if name == m.Self || m.peers[name].live {
			live = append(live, name)
		}
	}
	return live
}

// Drain makes this router take no more duties; it still lends itself to others.
func (m *Members) Drain(now time.Duration) {
	m.step(now)
	m.draining = true
}

// Holder gives the router that this router's own view names for a duty, "" if the view is empty.
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
