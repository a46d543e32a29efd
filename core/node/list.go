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
	// listMaxAge is the age of this router's list above which it asks a reader for a fresher one. In a fleet above
	// fleet.FullRateFleet, where a router rarely reads the platform, listMaxAgeLarge applies.
	listMaxAge      = 15 * time.Second
	listMaxAgeLarge = 5 * time.Second
	// listRequestPeriod is the time between two requests for a fresher list.
	listRequestPeriod = 5 * time.Second
	// listRequestTimeout is how long one peer has to answer, including the time to connect to it.
	listRequestTimeout = time.Second
	// listBackoff is how long a peer that did not answer is not asked again.
	listBackoff = 2 * time.Second
	// listMargin is how much fresher a list must be to be preferred.
	listMargin = time.Second
)

// listState is what a router knows of its own list of VMs and of its peers' lists.
type listState struct {
	vms        []fleet.VM
	digest     uint64        // of vms; 0 for no list
	readAt     time.Duration // when the list was last read from the platform, by any router, on this router's clock
	readAtWall time.Duration // the same on the wall clock, which keeps running while the VM sleeps
	fromPeer   bool          // the list came from a peer

	advertised  map[string]advertisedList
	pending     listRequest
	nextRequest time.Duration // earliest time of the next request for a fresher list
	round       uint64
}

// advertisedList is what a peer advertised about its list when it opened a stream, or in an answer.
type advertisedList struct {
	address string
	readAt  time.Duration // on this router's clock
	retryAt time.Duration // not asked before this time
}

// listRequest is the pending request for a list.
type listRequest struct {
	peer    string        // empty for none
	started time.Duration // start of the attempt, which may have to connect first
	sent    time.Duration // time that the request was sent; 0 while there is no connection
}

// receivePlatformList applies the list that was just read from the platform.
func (n *Node) receivePlatformList(vms []fleet.VM) {
	if n.applyList(vms) {
		n.storeList(vms, n.now, false)
	}
}

func (n *Node) storeList(vms []fleet.VM, read time.Duration, fromPeer bool) {
	c := &n.vmList
	c.vms, c.digest, c.fromPeer = vms, listDigest(vms), fromPeer
	n.setListReadTime(read)
}

func (n *Node) setListReadTime(read time.Duration) {
	n.vmList.readAt = read
	n.vmList.readAtWall = time.Duration(n.wall.UnixNano()) - (n.now - read)
}

// listAge returns an upper bound of the list's age. If the VM slept, only its wall clock shows it.
func (n *Node) listAge() time.Duration {
	return max(n.now-n.vmList.readAt, time.Duration(n.wall.UnixNano())-n.vmList.readAtWall)
}

// applyList applies a list of VMs. It returns false if the list contains no router.
func (n *Node) applyList(vms []fleet.VM) bool {
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
		n.keeper.StartSettling(n.now)
	}
	n.emit(Effect{Links: &Links{Addresses: addresses}})
	for _, name := range n.listedNames() {
		if _, still := listed[name]; !still {
			n.keeper.RemovePeer(name)
			n.forgetRouter(name)
		}
	}
	maps.DeleteFunc(n.vmList.advertised, func(name string, _ advertisedList) bool { return addresses[name] == "" })
	if !maps.EqualFunc(n.listed, listed, func(fleet.VM, fleet.VM) bool { return true }) {
		n.listChanged = n.wall
	}
	n.listed, n.leaving = listed, leaving
	n.members.UpdateList(n.now, vms)
	n.configureCells()
	return true
}

// peerConnected advertises this router's list to a peer to which a stream was opened, or requests the peer's
// list if there is none.
func (n *Node) peerConnected(peer string) {
	n.room.Reconnected(n.now, peer)
	c := &n.vmList
	switch {
	case c.digest != 0:
		if self, found := n.listed[n.Start.Self]; found {
			n.sendList(peer, fleet.ListText{Address: self.Address})
		}
	case c.pending.peer == peer:
		n.sendListRequest(peer)
	}
}

func (n *Node) sendListRequest(peer string) {
	n.vmList.pending = listRequest{peer: peer, started: n.now, sent: n.now}
	n.sendList(peer, fleet.ListText{Ask: true})
}

// sendList completes a message with the digest and the age of this router's list, and sends it.
func (n *Node) sendList(to string, l fleet.ListText) {
	if l.Digest = n.vmList.digest; l.Digest != 0 {
		l.Age = (n.listAge() + time.Millisecond - 1).Milliseconds()
	}
	n.send(to, fleet.Message{ListText: &l})
}

// receiveListText handles a peer's message about lists: an advertisement, a request or an answer.
func (n *Node) receiveListText(from string, l *fleet.ListText) {
	c := &n.vmList
	switch {
	case l.Ask:
		n.answerListRequest(from, l)
	case l.Address != "":
		if c.advertised == nil {
			c.advertised = map[string]advertisedList{}
		}
		c.advertised[from] = advertisedList{address: l.Address, readAt: n.now - time.Duration(l.Age)*time.Millisecond}
	case c.pending.peer == from && c.pending.sent > 0:
		n.receiveListAnswer(from, l)
	default:
		n.count("list.notAsked")
	}
}

// answerListRequest sends this router's list if the requesting peer has none, or an older one that differs.
func (n *Node) answerListRequest(to string, l *fleet.ListText) {
	c := &n.vmList
	if c.digest == 0 {
		return
	}
	answer := fleet.ListText{}
	if fresher := n.listAge().Milliseconds() < l.Age; l.Digest == 0 || fresher && l.Digest != c.digest {
		if !fitsMessage(c.vms) {
			n.count("list.tooLarge")
			return
		}
		answer.VMs = c.vms
	}
	n.sendList(to, answer)
}

// receiveListAnswer applies a peer's answer. The peer wrote it after the request was sent, so the time of the
// request less the age in the answer is the earliest time at which the list can have been read: this router may
// overestimate the list's age, but never underestimates it.
func (n *Node) receiveListAnswer(from string, l *fleet.ListText) {
	c := &n.vmList
	read := c.pending.sent - time.Duration(l.Age)*time.Millisecond
	c.pending = listRequest{}
	if peer, found := c.advertised[from]; found {
		peer.readAt = read
		c.advertised[from] = peer
	}
	if l.Digest == 0 || c.digest != 0 && n.now-read >= n.listAge() {
		return
	}
	switch {
	case l.Digest == c.digest:
		n.setListReadTime(read)
	case len(l.VMs) > 0 && n.applyList(l.VMs):
		n.storeList(l.VMs, read, true)
		n.count("list.fromPeer")
		n.emitNotice(Notice{Kind: NoticeListFromPeer, From: from, Duration: n.listAge()})
	}
}

// requestList asks a peer for its list. Without a list, or with one that came from a peer or is stale, it asks
// the peer that advertises the freshest list. If no peer advertises a fresher list than a stale one, it asks a
// reader every listRequestPeriod.
func (n *Node) requestList() {
	c := &n.vmList
	if c.pending.peer != "" {
		if n.now-c.pending.started < listRequestTimeout {
			return
		}
		if peer, found := c.advertised[c.pending.peer]; found {
			peer.retryAt = n.now + listBackoff
			c.advertised[c.pending.peer] = peer
		}
		c.pending = listRequest{}
		if c.digest == 0 {
			n.emit(Effect{Links: &Links{}}) // so that the connection is opened anew, and reported, if the same peer is asked again
		}
	}
	stale := c.digest != 0 && n.listAge() > n.maxListAge()
	if c.digest == 0 || c.fromPeer || stale {
		if peer := n.freshestPeer(); peer != "" {
			n.requestListFrom(peer)
			return
		}
	}
	if stale && n.now >= c.nextRequest {
		c.nextRequest = n.now + listRequestPeriod
		if peer := n.nextReader(); peer != "" {
			n.sendListRequest(peer)
		}
	}
}

func (n *Node) maxListAge() time.Duration {
	if n.FleetSize() > fleet.FullRateFleet {
		return listMaxAgeLarge
	}
	return listMaxAge
}

// requestListFrom asks a peer for its list. If there is a list, the connection to the peer exists already;
// otherwise it is opened first.
func (n *Node) requestListFrom(peer string) {
	if n.vmList.digest != 0 {
		n.sendListRequest(peer)
		return
	}
	n.vmList.pending = listRequest{peer: peer, started: n.now}
	n.emit(Effect{Links: &Links{Addresses: map[string]string{peer: n.vmList.advertised[peer].address}}})
}

// freshestPeer returns a peer that advertises the freshest list, if that list is worth a request. Lists whose
// ages differ by less than listMargin count as equal, so that many routers that start at once do not all ask the
// same peer.
func (n *Node) freshestPeer() string {
	c := &n.vmList
	candidates := slices.DeleteFunc(slices.Sorted(maps.Keys(c.advertised)), func(name string) bool {
		p := c.advertised[name]
		return p.retryAt > n.now || c.digest != 0 && n.now-p.readAt+listMargin > n.listAge()
	})
	if len(candidates) == 0 {
		return ""
	}
	latest := c.advertised[candidates[0]].readAt
	for _, name := range candidates {
		latest = max(latest, c.advertised[name].readAt)
	}
	candidates = slices.DeleteFunc(candidates, func(name string) bool { return c.advertised[name].readAt < latest-listMargin })
	return n.pickByHash(candidates, 0)
}

// pickByHash picks one of the peers by a hash of this router's name and a number.
func (n *Node) pickByHash(peers []string, number uint64) string {
	h := fnv.New64a()
	_, _ = h.Write(binary.LittleEndian.AppendUint64([]byte(n.Start.Self), number))
	return peers[h.Sum64()%uint64(len(peers))]
}

// nextReader returns another live reader of the platform at each call, in an order that differs from router to
// router.
func (n *Node) nextReader() string {
	readers := n.members.Readers(n.now)
	if len(readers) == 0 {
		return ""
	}
	n.vmList.round++
	return n.pickByHash(readers, n.vmList.round)
}

// listDigest returns a hash of a list, which depends on the order of the VMs and is never 0.
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

// fitsMessage reports whether peers accept a list of this size.
func fitsMessage(vms []fleet.VM) bool {
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

// listedNames returns the names of all listed routers, sorted.
func (n *Node) listedNames() []string { return slices.Sorted(maps.Keys(n.listed)) }
