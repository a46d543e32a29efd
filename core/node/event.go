package node

import (
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
)

// Event is one thing that happened; exactly one field is set.
type Event struct {
	Admit    *entry.Request  `json:"admit,omitempty"` // a request arrived
	Leave    *Leave          `json:"leave,omitempty"`
	Finish   *Finish         `json:"finish,omitempty"`
	Progress *Finish         `json:"progress,omitempty"` // the cost so far of a running attempt
	KeyOpen  *KeyAsk         `json:"keyOpen,omitempty"`
	KeyClose *fleet.KeyClose `json:"keyClose,omitempty"`
	Received *Received       `json:"received,omitempty"`
	Linked   *Linked         `json:"linked,omitempty"`
	Refused  *Refused        `json:"refused,omitempty"`
	Offer    *Offer          `json:"offer,omitempty"`
	Asked    *Asked          `json:"asked,omitempty"`
	List     *List           `json:"list,omitempty"`
	Load     *Load           `json:"load,omitempty"`
	Drain    *Drain          `json:"drain,omitempty"`
}

// Leave tells that the caller of a waiting request went away.
type Leave struct {
	Request string `json:"request"`
}

// Finish is the end of an attempt, or its cost so far.
type Finish struct {
	Cell fleet.Cell `json:"cell"`
	Done fleet.Done `json:"done"`
}

// KeyAsk asks whether the request of an idempotency key may be sent; Ask is echoed in the answer.
type KeyAsk struct {
	Ask  uint64        `json:"ask"`
	Open fleet.KeyOpen `json:"open"`
}

// Received is a message from a peer.
type Received struct {
	From    string        `json:"from"`
	Message fleet.Message `json:"message"`
}

// Linked tells that a stream to a peer was opened.
type Linked struct {
	Peer string `json:"peer"`
}

// Refused tells that a peer's VM refused a connection.
type Refused struct {
	Peer string `json:"peer"`
}

// Offer is a version of the rule file from the platform.
type Offer struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// Asked tells that the platform was asked for the rules and has answered or failed to.
type Asked struct{}

// List is the platform's list of VMs.
type List struct {
	VMs []fleet.VM `json:"vms"`
}

// Load is a backend server's report, or the failure to get one.
type Load struct {
	Cell   fleet.Cell `json:"cell"`
	Report fleet.Load `json:"report"`
	Failed bool       `json:"failed,omitempty"`
}

// Drain tells that the router is to stop.
type Drain struct{}

// Effect is one thing to be done; exactly one field is set.
type Effect struct {
	Send    *Send          `json:"send,omitempty"`
	Verdict *entry.Verdict `json:"verdict,omitempty"`
	Key     *KeyReply      `json:"key,omitempty"`
	Links   *Links         `json:"links,omitempty"`
	Poll    *Poll          `json:"poll,omitempty"`
	Notice  *Notice        `json:"notice,omitempty"`
}

// Send is a message for a peer.
type Send struct {
	To      string        `json:"to"`
	Message fleet.Message `json:"message"`
}

// KeyReply answers a KeyAsk.
type KeyReply struct {
	Ask    uint64          `json:"ask"`
	Answer fleet.KeyAnswer `json:"answer"`
}

// Links names the peers to be linked with, and their addresses.
type Links struct {
	Addresses map[string]string `json:"addresses"`
}

// Poll names the backend servers of a cell that are to be asked for their load; none ends it.
type Poll struct {
	Cell    fleet.Cell        `json:"cell"`
	Servers map[string]string `json:"servers,omitempty"` // name to address
}

//go:generate stringer -type=NoticeKind -linecomment -output=noticekind_string.go

// NoticeKind says what a notice is about.
type NoticeKind int

// Kinds of notice.
const (
	NoticeNone         NoticeKind = iota // none
	NoticeInForce                        // configuration in force
	NoticeRefused                        // configuration refused
	NoticeReady                          // ready
	NoticeScheduling                     // scheduling cell
	NoticeWokeLate                       // woke late
	NoticePeerLive                       // peer live
	NoticePeerLost                       // peer lost
	NoticeListFromPeer                   // list from peer
	NoticeLimitLowered                   // limit lowered
)

// MarshalText gives the kind's name.
func (k NoticeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText reads a kind's name; an unknown name becomes NoticeNone.
func (k *NoticeKind) UnmarshalText(text []byte) error {
	*k = NoticeNone
	for c := NoticeNone; c <= NoticeLimitLowered; c++ {
		if c.String() == string(text) {
			*k = c
		}
	}
	return nil
}

// Notice is worth a line in the log.
type Notice struct {
	Kind    NoticeKind    `json:"kind"`
	Cell    fleet.Cell    `json:"cell,omitzero"`
	Term    uint64        `json:"term,omitempty"`
	Version uint64        `json:"version,omitempty"`
	From    string        `json:"from,omitempty"`
	Why     string        `json:"why,omitempty"`
	After   time.Duration `json:"after,omitempty"`
	Server  string        `json:"server,omitempty"`
	Learnt  int           `json:"learnt,omitempty"` // concurrent requests of the server from now on
	Before  int           `json:"before,omitempty"` // likewise until now
}
