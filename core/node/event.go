package node

import (
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
)

// Event is something that happened; exactly one field is set.
type Event struct {
	Admit         *entry.Request  `json:"admit,omitempty"` // a request arrived
	Cancel        *Cancel         `json:"leave,omitempty"`
	Finish        *Finish         `json:"finish,omitempty"`
	Progress      *Finish         `json:"progress,omitempty"` // the cost so far of a running attempt
	KeyOpen       *KeyRequest     `json:"keyOpen,omitempty"`
	KeyClose      *fleet.KeyClose `json:"keyClose,omitempty"`
	Received      *Received       `json:"received,omitempty"`
	PeerConnected *PeerConnected  `json:"linked,omitempty"`
	PeerRefused   *PeerRefused    `json:"refused,omitempty"`
	Offer         *Offer          `json:"offer,omitempty"`
	ConfigPolled  *ConfigPolled   `json:"asked,omitempty"`
	VMList        *VMList         `json:"list,omitempty"`
	Load          *Load           `json:"load,omitempty"`
	Drain         *Drain          `json:"drain,omitempty"`
}

// Cancel reports that the caller of a waiting request has gone away.
type Cancel struct {
	Request string `json:"request"`
}

// Finish is the end of an attempt, or its cost so far.
type Finish struct {
	Cell fleet.Cell `json:"cell"`
	Done fleet.Done `json:"done"`
}

// KeyRequest asks whether the request of an idempotency key may be sent; ID is echoed in the reply.
type KeyRequest struct {
	ID   uint64        `json:"ask"`
	Open fleet.KeyOpen `json:"open"`
}

// Received is a message from a peer.
type Received struct {
	From    string        `json:"from"`
	Message fleet.Message `json:"message"`
}

// PeerConnected reports that a stream to a peer was opened.
type PeerConnected struct {
	Peer string `json:"peer"`
}

// PeerRefused reports that a peer's VM refused a connection.
type PeerRefused struct {
	Peer string `json:"peer"`
}

// Offer is a version of the configuration from the platform.
type Offer struct {
	Version uint64 `json:"version"`
	Text    []byte `json:"text"`
}

// ConfigPolled reports that the platform was asked for the configuration and has answered or failed to.
type ConfigPolled struct{}

// VMList is the platform's list of VMs.
type VMList struct {
	VMs []fleet.VM `json:"vms"`
}

// Load is a load report of a backend server, or the failure to get one.
type Load struct {
	Cell   fleet.Cell `json:"cell"`
	Report fleet.Load `json:"report"`
	Failed bool       `json:"failed,omitempty"`
}

// Drain requests that the router drain before it stops.
type Drain struct{}

// Effect is an action to be carried out; exactly one field is set.
type Effect struct {
	Send    *Send          `json:"send,omitempty"`
	Verdict *entry.Verdict `json:"verdict,omitempty"`
	Key     *KeyReply      `json:"key,omitempty"`
	Links   *Links         `json:"links,omitempty"`
	Poll    *Poll          `json:"poll,omitempty"`
	Notice  *Notice        `json:"notice,omitempty"`
}

// Send is a message to be sent to a peer.
type Send struct {
	To      string        `json:"to"`
	Message fleet.Message `json:"message"`
}

// KeyReply answers a KeyRequest.
type KeyReply struct {
	ID     uint64          `json:"ask"`
	Answer fleet.KeyAnswer `json:"answer"`
}

// Links is the complete set of peers to be connected to, with their addresses.
type Links struct {
	Addresses map[string]string `json:"addresses"`
}

// Poll names the backend servers of a cell whose load is to be polled; an empty set ends the polling.
type Poll struct {
	Cell    fleet.Cell        `json:"cell"`
	Servers map[string]string `json:"servers,omitempty"` // addresses by name
}

//go:generate stringer -type=NoticeKind -linecomment -output=noticekind_string.go

// NoticeKind is the kind of a notice.
type NoticeKind int

// Kinds of notice.
const (
	NoticeNone         NoticeKind = iota // none
	NoticeInForce                        // configuration in force
	NoticeRefused                        // configuration refused
	NoticeReady                          // ready
	NoticeScheduling                     // scheduling cell
	NoticePaused                         // woke late
	NoticePeerLive                       // peer live
	NoticePeerLost                       // peer lost
	NoticeListFromPeer                   // list from peer
	NoticeLimitLowered                   // limit lowered
)

// MarshalText returns the name of the kind.
func (k NoticeKind) MarshalText() ([]byte, error) { return []byte(k.String()), nil }

// UnmarshalText sets the kind by its name; an unknown name becomes NoticeNone.
func (k *NoticeKind) UnmarshalText(text []byte) error {
	*k = NoticeNone
	for c := NoticeNone; c <= NoticeLimitLowered; c++ {
		if c.String() == string(text) {
			*k = c
		}
	}
	return nil
}

// Notice is an occurrence that is written to the log.
type Notice struct {
	Kind          NoticeKind    `json:"kind"`
	Cell          fleet.Cell    `json:"cell,omitzero"`
	Term          uint64        `json:"term,omitempty"`
	Version       uint64        `json:"version,omitempty"`
	From          string        `json:"from,omitempty"`
	Reason        string        `json:"why,omitempty"`
	Duration      time.Duration `json:"after,omitempty"`
	Server        string        `json:"server,omitempty"`
	Limit         int           `json:"learnt,omitempty"` // concurrency limit of the server from now on
	PreviousLimit int           `json:"before,omitempty"` // concurrency limit of the server until now
}
