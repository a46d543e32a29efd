package node

import (
	"encoding/binary"
	"hash/fnv"
	"maps"
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

const (
	// listFresh is how long a router goes by its own list before it asks a reader for a younger one; in a fleet above
	// fleet.FullPace, where it reads the platform rarely, it is listFreshLarge.
	listFresh      = 15 * time.Second
	listFreshLarge = 5 * time.Second
	// listAskPeriod is the time between two questions for a younger list.
	listAskPeriod = 5 * time.Second
	// listAskLimit is how long one peer has to answer, the opening of a link to it included.
	listAskLimit = time.Second
	// listShun is how long a peer that did not answer is passed over.
	listShun = 2 * time.Second
	// listMargin is how much younger a list must be to be asked for before another.
	listMargin = time.Second
)

// carried is what a router knows of its own list of VMs and those of its peers.
type carried struct {
	vms      []fleet.VM
	digest   uint64        // of vms; 0 for no list
	read     time.Duration // when the list was read from the platform, by whomever and at the latest, on this router's clock
	readWall time.Duration // the same on its wall clock, which goes on while the VM sleeps
	byPeer   bool          // the list came from a peer

	told   map[string]peerList
	asking listAsk
	next   time.Duration // of the questions for a younger list
	round  uint64
}

// peerList is what a peer told of its list when it opened a link, or answered.
type peerList struct {
	address string
	read    time.Duration // on this router's clock
	shunned time.Duration // not asked before this time
}

// listAsk is the question under way.
type listAsk struct {
	peer  string        // empty for none
	begun time.Duration // of the attempt
	sent  time.Duration // of the question; 0 while the link is not open
}

// offerList takes the list that was just read from the platform.
func (n *Node) offerList(vms []fleet.VM) {
	if n.list(vms) {
		n.carry(vms, n.now, false)
	}
}

func (n *Node) carry(vms []fleet.VM, read time.Duration, byPeer bool) {
	c := &n.carried
	c.vms, c.digest, c.byPeer = vms, listDigest(vms), byPeer
	n.readAt(read)
}

func (n *Node) readAt(read time.Duration) {
	n.carried.read = read
	n.carried.readWall = time.Duration(n.wall.UnixNano()) - (n.now - read)
}

// listAge gives the greatest age that the list can have; a VM that slept shows on its wall clock.
func (n *Node) listAge() time.Duration {
	return max(n.now-n.carried.read, time.Duration(n.wall.UnixNano())-n.carried.readWall)
}

// list applies a list of VMs; one without any router is refused.
func (n *Node) list(vms []fleet.VM) bool {
	addresses := map[string]string{}
	listed := map[string]fleet.VM{}
	leaving := map[string]bool{}
	for _, v := range vms {
		switch {
		case v.Router:
			listed[v.Name] = v
			if v.Name != n.Start.Self {
				addresses[v.Name] = v.Address
			}
		case v.State == fleet.VMLeaving:
			leaving[v.Name] = true
		}
	}
	if len(listed) == 0 {
		n.count("list.empty") // a list without any router is a fault of the platform
		return false
	}
	if len(n.listed) == 0 {
		n.keeper.Begin(n.now)
	}
	n.do(Effect{Links: &Links{Addresses: addresses}})
	for _, name := range n.listedNames() {
		if _, still := listed[name]; !still {
			n.keeper.Gone(name)
			n.forget(name)
		}
	}
	maps.DeleteFunc(n.carried.told, func(name string, _ peerList) bool { return addresses[name] == "" })
	if !maps.EqualFunc(n.listed, listed, func(fleet.VM, fleet.VM) bool { return true }) {
		n.relisted = n.wall
	}
	n.listed, n.leaving = listed, leaving
	n.members.List(n.now, vms)
	n.configureCells()
	return true
}

// linked tells a peer to which a stream was opened of the own list, or asks it for its own.
func (n *Node) linked(peer string) {
	n.room.Linked(n.now, peer)
	c := &n.carried
	switch {
	case c.digest != 0:
		if self, found := n.listed[n.Start.Self]; found {
			n.sendList(peer, fleet.ListText{Address: self.Address})
		}
	case c.asking.peer == peer:
		n.ask(peer)
	}
}

func (n *Node) ask(peer string) {
	n.carried.asking = listAsk{peer: peer, begun: n.now, sent: n.now}
	n.sendList(peer, fleet.ListText{Ask: true})
}

// sendList completes a message with what is known of the own list.
func (n *Node) sendList(to string, l fleet.ListText) {
	if l.Digest = n.carried.digest; l.Digest != 0 {
		l.Age = (n.listAge() + time.Millisecond - 1).Milliseconds()
	}
	n.send(to, fleet.Message{ListText: &l})
}

// listText takes what a peer says of lists: that it has one, that it wants one, or an answer.
func (n *Node) listText(from string, l *fleet.ListText) {
	c := &n.carried
	switch {
	case l.Ask:
		n.answerList(from, l)
	case l.Address != "":
		if c.told == nil {
			c.told = map[string]peerList{}
		}
		c.told[from] = peerList{address: l.Address, read: n.now - time.Duration(l.Age)*time.Millisecond}
	case c.asking.peer == from && c.asking.sent > 0:
		n.takeList(from, l)
	default:
		n.count("list.notAsked")
	}
}

// answerList sends the own list if the asker has none or an older one that differs.
func (n *Node) answerList(to string, l *fleet.ListText) {
	c := &n.carried
	if c.digest == 0 {
		return
	}
	answer := fleet.ListText{}
	if younger := n.listAge().Milliseconds() < l.Age; l.Digest == 0 || younger && l.Digest != c.digest {
		if !portable(c.vms) {
			n.count("list.tooLarge")
			return
		}
		answer.VMs = c.vms
	}
	n.sendList(to, answer)
}

// takeList applies a peer's answer. The peer wrote it after the question was sent, so the list was read no earlier than its
// age before that: this router may only think the list older than it is.
func (n *Node) takeList(from string, l *fleet.ListText) {
	c := &n.carried
	read := c.asking.sent - time.Duration(l.Age)*time.Millisecond
	c.asking = listAsk{}
	if told, found := c.told[from]; found {
		told.read = read
		c.told[from] = told
	}
	if l.Digest == 0 || c.digest != 0 && n.now-read >= n.listAge() {
		return
	}
	switch {
	case l.Digest == c.digest:
		n.readAt(read)
	case len(l.VMs) > 0 && n.list(l.VMs):
		n.carry(l.VMs, read, true)
		n.count("list.fromPeer")
		n.notice(Notice{Kind: NoticeListFromPeer, From: from, After: n.listAge()})
	}
}

// askList asks a peer for its list: at once while there is none or a peer's is known to be younger than a carried one, and
// a reader now and then while the platform has not renewed it.
func (n *Node) askList() {
	c := &n.carried
	if c.asking.peer != "" {
		if n.now-c.asking.begun < listAskLimit {
			return
		}
		if told, found := c.told[c.asking.peer]; found {
			told.shunned = n.now + listShun
			c.told[c.asking.peer] = told
		}
		c.asking = listAsk{}
		if c.digest == 0 {
			n.do(Effect{Links: &Links{}}) // so that a link is opened anew, and told of, when the same peer is asked again
		}
	}
	stale := c.digest != 0 && n.listAge() > n.listFresh()
	if c.digest == 0 || c.byPeer || stale {
		if peer := n.youngest(); peer != "" {
			n.askYoungest(peer)
			return
		}
	}
	if stale && n.now >= c.next {
		c.next = n.now + listAskPeriod
		if peer := n.anyReader(); peer != "" {
			n.ask(peer)
		}
	}
}

func (n *Node) listFresh() time.Duration {
	if n.FleetSize() > fleet.FullPace {
		return listFreshLarge
	}
	return listFresh
}

// askYoungest asks at once over a link that the list has opened, and else opens one first.
func (n *Node) askYoungest(peer string) {
	if n.carried.digest != 0 {
		n.ask(peer)
		return
	}
	n.carried.asking = listAsk{peer: peer, begun: n.now}
	n.do(Effect{Links: &Links{Addresses: map[string]string{peer: n.carried.told[peer].address}}})
}

// youngest gives a peer that told of the youngest list, if that is worth asking for. Lists that differ by less than listMargin
// count alike, so that many routers that start at once do not all ask the same peer.
func (n *Node) youngest() string {
	c := &n.carried
	worth := slices.DeleteFunc(slices.Sorted(maps.Keys(c.told)), func(name string) bool {
		p := c.told[name]
		return p.shunned > n.now || c.digest != 0 && n.now-p.read+listMargin > n.listAge()
	})
	if len(worth) == 0 {
		return ""
	}
	latest := c.told[worth[0]].read
	for _, name := range worth {
		latest = max(latest, c.told[name].read)
	}
	worth = slices.DeleteFunc(worth, func(name string) bool { return c.told[name].read < latest-listMargin })
	return n.spread(worth, 0)
}

// spread takes one of some peers by a hash of this router's name and a number.
func (n *Node) spread(peers []string, number uint64) string {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(n.Start.Self), number))
	return peers[h.Sum64()%uint64(len(peers))]
}

// anyReader gives another live reader of the platform each time, in an order of its own at each router.
func (n *Node) anyReader() string {
	readers := n.members.Readers(n.now)
	if len(readers) == 0 {
		return ""
	}
	n.carried.round++
	return n.spread(readers, n.carried.round)
}

// listDigest is a hash of a list; the order counts, and it is never 0.
func listDigest(vms []fleet.VM) uint64 {
	h := fnv.New64a()
	for _, v := range vms {
		for _, field := range []string{v.Name, v.Address, v.Admin, v.DataCentre, v.State.String()} {
			_, _ = h.Write([]byte(field))
			_, _ = h.Write([]byte{0})
		}
		if v.Router {
			_, _ = h.Write([]byte{1})
		}
	}
	return max(h.Sum64(), 1)
}

// portable says whether peers take a list of this size.
func portable(vms []fleet.VM) bool {
	bytes := 0
	for _, v := range vms {
		for _, field := range []string{v.Name, v.Address, v.Admin, v.DataCentre} {
			if len(field) > fleet.MaxField {
				return false
			}
			bytes += len(field)
		}
		bytes += 16
	}
	return bytes <= fleet.MaxListText
}

// listedNames gives all listed routers, ascending.
func (n *Node) listedNames() []string { return slices.Sorted(maps.Keys(n.listed)) }
