package node

import (
	"slices"

	"mangolug.org/core/conf"
	"mangolug.org/core/fleet"
)

// platform is where an offered configuration came from when it was not a peer.
const platform = "platform"

// InForce gives the configuration in force; nil before the first.
func (n *Node) InForce() *conf.InForce { return n.keeper.Current() }

// Newest gives the highest version already decided here.
func (n *Node) Newest() uint64 { return n.keeper.Newest() }

// Ready says why callers are not served now; ReasonNone when they are, also while the router drains.
func (n *Node) Ready() fleet.Reason {
	if n.settled {
		return fleet.ReasonNone
	}
	return fleet.ReasonNotReady
}

// Reader says whether this router is one of those that watch the platform.
func (n *Node) Reader() bool { return n.reader }

// FleetSize counts the listed routers.
func (n *Node) FleetSize() int { return len(n.listed) }

// Urgent says whether this router schedules a cell and so needs the list of VMs at once.
func (n *Node) Urgent() bool {
	for _, c := range n.cells {
		if c.lenders > 0 {
			return true
		}
	}
	return false
}

func (n *Node) offer(version uint64, text []byte, from string) {
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
		n.notice(Notice{Kind: NoticeInForce, Version: version, From: from})
	case conf.ResultRefused, conf.ResultConflict:
		_, why := n.keeper.Refused()
		n.notice(Notice{Kind: NoticeRefused, Version: version, From: from, Why: why})
	}
}

// settle makes the router ready once it has asked platform and peers for the newest configuration.
func (n *Node) settle() {
	if n.settled || len(n.listed) == 0 || !n.keeper.Settled(n.now, n.listedNames()) {
		return
	}
	n.settled = true
	n.notice(Notice{Kind: NoticeReady, Version: n.keeper.Current().Version})
}

// askConfig asks a peer for a newer version that it was heard to have.
func (n *Node) askConfig() {
	peer, _, wanted := n.keeper.Want(n.now)
	if !wanted {
		return
	}
	ask := &fleet.ConfigAsk{}
	if c := n.keeper.Current(); c != nil {
		ask.After = c.Version
	}
	n.send(peer, fleet.Message{ConfigAsk: ask})
}

func (n *Node) answerConfig(to string, after uint64) {
	if c := n.keeper.Current(); c != nil && c.Version > after {
		n.send(to, fleet.Message{ConfigText: &fleet.ConfigText{Version: c.Version, Text: c.Text}})
	}
}
