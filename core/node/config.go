package node

import (
	"slices"

	"mangolug.org/core/conf"
	"mangolug.org/core/fleet"
)

// platform is the source of a configuration that did not come from a peer.
const platform = "platform"

// InForce returns the configuration in force, or nil before the first one.
func (n *Node) InForce() *conf.InForce { return n.keeper.Current() }

// NewestVersion returns the highest configuration version decided on by this router.
func (n *Node) NewestVersion() uint64 { return n.keeper.Newest() }

// NotReadyReason returns the reason why callers are not served now. It is ReasonNone if they are served, even while the
// router drains.
func (n *Node) NotReadyReason() fleet.Reason {
	if n.ready {
		return fleet.ReasonNone
	}
	return fleet.ReasonNotReady
}

// ReadsPlatform reports whether this router is one of those that poll the platform.
func (n *Node) ReadsPlatform() bool { return n.reader }

// FleetSize returns the number of listed routers.
func (n *Node) FleetSize() int { return len(n.listed) }

// NeedsVMListNow reports whether this router schedules a cell and so needs the list of VMs at once.
func (n *Node) NeedsVMListNow() bool {
	for _, c := range n.cells {
		if c.lenders > 0 {
			return true
		}
	}
	return false
}

func (n *Node) offerConfig(version uint64, text []byte, from string) {
	result := n.keeper.Offer(n.now, version, text, from)
	n.count("config." + result.String())
	switch result {
	case conf.ResultAccepted:
		n.members.ConfigVersion = version
		n.products = n.products[:0]
		for product := range n.keeper.Current().Products {
			n.products = append(n.products, product)
		}
		slices.Sort(n.products)
		n.configureCells()
		n.emitNotice(Notice{Kind: NoticeInForce, Version: version, From: from})
	case conf.ResultRefused, conf.ResultConflict:
		_, why := n.keeper.Refused()
		n.emitNotice(Notice{Kind: NoticeRefused, Version: version, From: from, Reason: why})
	}
}

// checkReady marks the router ready once it has asked the platform and its peers for the newest configuration.
func (n *Node) checkReady() {
	if n.ready || len(n.listed) == 0 || !n.keeper.Ready(n.now, n.listedNames()) {
		return
	}
	n.ready = true
	n.emitNotice(Notice{Kind: NoticeReady, Version: n.keeper.Current().Version})
}

// requestConfig asks a peer for a newer version that the peer has advertised.
func (n *Node) requestConfig() {
	peer, _, wanted := n.keeper.NextFetch(n.now)
	if !wanted {
		return
	}
	request := &fleet.ConfigAsk{}
	if c := n.keeper.Current(); c != nil {
		request.After = c.Version
	}
	n.send(peer, fleet.Message{ConfigAsk: request})
}

func (n *Node) sendConfig(to string, after uint64) {
	if c := n.keeper.Current(); c != nil && c.Version > after {
		n.send(to, fleet.Message{ConfigText: &fleet.ConfigText{Version: c.Version, Text: c.Text}})
	}
}
