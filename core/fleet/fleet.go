package fleet

import (
	"fmt"
	"slices"
	"strings"
)

// Cell is a group of one product's backend servers that one router at a time schedules.
type Cell struct {
	Product string `json:"product,omitempty"`
	Part    int    `json:"part,omitempty"` // 0 to parts-1; a small product has one part
}

// String gives the cell as product/part, also the name of its duty.
func (c Cell) String() string { return fmt.Sprintf("%s/%d", c.Product, c.Part) }

// VM is a machine on the platform's list, of a router or of a backend server.
type VM struct {
	Name       string  `json:"name,omitempty"`
	Address    string  `json:"address,omitempty"` // peer address, ip:port; of a backend server its service address
	Admin      string  `json:"admin,omitempty"`   // admin address, ip:port; empty for backend servers
	DataCentre string  `json:"dataCentre,omitempty"`
	Router     bool    `json:"router,omitempty"`
	State      VMState `json:"state,omitempty"`
}

// Heartbeat is sent to peers every period and at once when the sender's view changes.
type Heartbeat struct {
	View          []uint32 `json:"view,omitempty"`          // hashes of the routers that the sender regards as live, ascending
	ViewAge       int64    `json:"viewAge,omitempty"`       // milliseconds for which no earlier view of the sender can have been acted on
	ConfigVersion uint64   `json:"configVersion,omitempty"` // version in force at the sender; 0 for none
	Draining      bool     `json:"draining,omitempty"`      // the sender is stopping and takes no duty
	ViewSeq       uint64   `json:"viewSeq,omitempty"`       // counts the changes of the view in the sender's incarnation
}

// TeamDemand is what one team has waiting at one router for one cell's product.
type TeamDemand struct {
	Team       string `json:"team,omitempty"`
	Waiting    int    `json:"waiting,omitempty"`    // requests; 0 removes the team's demand
	Estimate   int64  `json:"estimate,omitempty"`   // expected cost of the oldest, in cost units
	OldestWait int64  `json:"oldestWait,omitempty"` // milliseconds that the oldest has waited
	Prefix     uint64 `json:"prefix,omitempty"`     // prompt prefix hash of the oldest; 0 for none
}

// Done reports the end of one grant.
type Done struct {
	Grant     uint64  `json:"grant,omitempty"`
	Outcome   Outcome `json:"outcome,omitempty"`
	Cost      int64   `json:"cost,omitempty"`      // cost units used in all
	FirstByte int64   `json:"firstByte,omitempty"` // microseconds from send to first byte; 0 if none came
	Service   int64   `json:"service,omitempty"`   // microseconds from send to end
}

// Running reports a grant in use, with its cost so far; Team and Server are given with a full demand only.
type Running struct {
	Grant  uint64 `json:"grant,omitempty"`
	Team   string `json:"team,omitempty"`
	Server string `json:"server,omitempty"`
	Cost   int64  `json:"cost,omitempty"` // cost units used so far
}

// Demand is what an entry router tells a cell's scheduler: only what changed, or all when Full.
type Demand struct {
	Cell     Cell         `json:"cell,omitempty"`
	Seq      uint64       `json:"seq,omitempty"`
	Full     bool         `json:"full,omitempty"`     // Waiting and Running are complete and replace all that was known of the sender
	SeenTerm uint64       `json:"seenTerm,omitempty"` // term that Seen counts in
	Seen     uint64       `json:"seen,omitempty"`     // highest grant number received in SeenTerm
	Waiting  []TeamDemand `json:"waiting,omitempty"`
	Done     []Done       `json:"done,omitempty"`
	Running  []Running    `json:"running,omitempty"` // complete when Full, else those whose cost so far grew
	Limits   *Limits      `json:"limits,omitempty"`  // with Full, what the sender keeps for a new scheduler; nil for none
}

// TermShift is the number of bits that a grant's ID has for its number within the term.
const TermShift = 14

// Grant lets one waiting request of a team run on one backend server.
type Grant struct {
	ID      uint64 `json:"id,omitempty"` // unique in the scheduler's incarnation, ascending for each entry router
	Team    string `json:"team,omitempty"`
	Server  string `json:"server,omitempty"`
	Address string `json:"address,omitempty"` // service address of the server, ip:port
	Fencing bool   `json:"fencing,omitempty"` // the server checks fencing numbers
}

// Grants answers a router's demand; Term orders schedulers of a cell and serves as fencing number.
type Grants struct {
	Cell    Cell    `json:"cell,omitempty"`
	Term    uint64  `json:"term,omitempty"`
	Basis   int64   `json:"basis,omitempty"`   // receiver's own clock, in milliseconds, as last heard by the scheduler; unused grants lapse GrantLifetime after it
	TellAll bool    `json:"tellAll,omitempty"` // the scheduler knows nothing or only part of the receiver's demand
	Grants  []Grant `json:"grants,omitempty"`
	Limits  *Limits `json:"limits,omitempty"` // to be kept for the cell's next scheduler; nil for none
}

// Limits is what a cell's scheduler learnt of its servers, for the next one.
type Limits struct {
	Term    uint64        `json:"term,omitempty"`
	Version uint64        `json:"version,omitempty"` // rises with each change within the term
	Since   uint64        `json:"since,omitempty"`   // version that Servers changes; 0 if it replaces all
	Servers []ServerLimit `json:"servers,omitempty"` // by name
}

// ServerLimit is the number of concurrent requests that a server bore in one epoch; 0 for unknown.
type ServerLimit struct {
	Server string `json:"server,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// Take takes in limits from a cell's scheduler; changes to what is not kept are dropped.
func (l *Limits) Take(news Limits) {
	if news.Since == 0 {
		*l = news
		return
	}
	if news.Term != l.Term || news.Since != l.Version {
		return
	}
	l.Version = news.Version
	for _, s := range news.Servers {
		i, found := slices.BinarySearchFunc(l.Servers, s.Server, func(s ServerLimit, name string) int { return strings.Compare(s.Server, name) })
		if found {
			l.Servers[i] = s
			continue
		}
		l.Servers = slices.Insert(l.Servers, i, s)
	}
}

// Load is a backend server's own report.
type Load struct {
	Server  string `json:"server,omitempty"`
	Epoch   uint64 `json:"epoch,omitempty"`   // changes when the server restarts or turns cold
	Running int    `json:"running,omitempty"` // requests in service
	Waiting int    `json:"waiting,omitempty"` // requests admitted but not yet in service
	Limit   int    `json:"limit,omitempty"`   // requests that the server says it can run at once; 0 if it does not say
	Age     int64  `json:"age,omitempty"`     // milliseconds between measurement and receipt, as far as known
}

// KeyOpen asks a key's home whether a non-idempotent request may be sent.
type KeyOpen struct {
	Ticket uint64 `json:"ticket,omitempty"` // chosen by the asker, echoed in the answer
	Team   string `json:"team,omitempty"`
	Key    string `json:"key,omitempty"`    // UUIDv7 text
	Digest uint64 `json:"digest,omitempty"` // hash of method, path and body
}

// KeyVerdict is a home's decision on a key.
type KeyVerdict int

//go:generate stringer -type=KeyVerdict -linecomment -output=keyverdict_string.go

// Verdicts on a key.
const (
	KeyRefused    KeyVerdict = iota // refused
	KeyRun                          // run
	KeyAnswered                     // answered
	KeyInProgress                   // inProgress
	KeyUnknown                      // unknown
)

// KeyAnswer is a home's answer to KeyOpen; a KeyRun lapses KeyRunLifetime after the asker sent its KeyOpen.
type KeyAnswer struct {
	Ticket  uint64     `json:"ticket,omitempty"`
	Verdict KeyVerdict `json:"verdict,omitempty"`
	Reason  Reason     `json:"reason,omitempty"`
	Answer  Answer     `json:"answer,omitempty"`
	Wait    int64      `json:"wait,omitempty"` // ms after which the home may let the key run that it doesn't now; 0 for never
}

// Answer is the recorded answer of a finished non-idempotent request.
type Answer struct {
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"` // the body was too long to record
}

// KeyClose tells a key's home how its request ended.
type KeyClose struct {
	Ticket  uint64     `json:"ticket,omitempty"` // of the KeyOpen that was answered KeyRun, or to no effect of one that was not
	Router  string     `json:"router,omitempty"` // that was permitted to run the key, when a former home passes the message on; else empty
	Team    string     `json:"team,omitempty"`
	Key     string     `json:"key,omitempty"`
	Outcome KeyVerdict `json:"outcome,omitempty"` // KeyAnswered, KeyUnknown, or KeyRefused when no byte left
	Answer  Answer     `json:"answer,omitempty"`
}

// KeyLoan is a router's view by which it lent itself to the home of a key slot.
type KeyLoan struct {
	Router      string `json:"router,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	ViewSeq     uint64 `json:"viewSeq,omitempty"`
}

// KeyRecord is what a home knows of one key.
type KeyRecord struct {
	Team    string     `json:"team,omitempty"`
	Key     string     `json:"key,omitempty"`
	Router  string     `json:"router,omitempty"` // that was permitted to run the key
	Ticket  uint64     `json:"ticket,omitempty"` // of its question
	Digest  uint64     `json:"digest,omitempty"`
	Verdict KeyVerdict `json:"verdict,omitempty"`
	Age     int64      `json:"age,omitempty"` // milliseconds since the permission
	Answer  Answer     `json:"answer,omitempty"`
}

// KeyHandover gives what the former home of a key slot knows to the next one, in Parts messages.
type KeyHandover struct {
	Slot    int         `json:"slot,omitempty"`
	Number  uint64      `json:"number,omitempty"` // of this handover in the sender's incarnation
	Part    int         `json:"part,omitempty"`   // 0 to Parts-1
	Parts   int         `json:"parts,omitempty"`
	Since   int64       `json:"since,omitempty"` // milliseconds since 1970: every key run after it is on record or did not run
	Loans   []KeyLoan   `json:"loans,omitempty"` // counted when the sender last held the slot; in the first part
	Records []KeyRecord `json:"records,omitempty"`
	Recall  uint64      `json:"recall,omitempty"` // number of the KeyRecall that this answers; 0 for a handover
}

// KeyRecall asks for all that a router knows of a key slot, and takes back the questions that it has open at other homes.
type KeyRecall struct {
	Slot   int    `json:"slot,omitempty"`
	Number uint64 `json:"number,omitempty"` // of this recall in the sender's incarnation
}

// KeyCopy asks a router to keep a copy of a permission that the sender, being the key's home, is about to use itself, or answers that.
type KeyCopy struct {
	Record KeyRecord `json:"record,omitempty"`
	Done   bool      `json:"done,omitempty"` // this is the answer
	Kept   bool      `json:"kept,omitempty"`
}

// ConfigAsk asks a peer for its configuration when newer than After.
type ConfigAsk struct {
	After uint64 `json:"after,omitempty"`
}

// ConfigText carries a version of the rule file from peer to peer.
type ConfigText struct {
	Version uint64 `json:"version,omitempty"`
	Text    []byte `json:"text,omitempty"`
}

// MaxListText is the largest list of VMs that peers carry, in bytes of its text fields and 16 for each VM.
const MaxListText = 1 << 20

// MaxField is the longest text field of a VM that peers carry, in bytes.
const MaxField = 256

// ListText tells a peer of the sender's list of VMs, asks for the receiver's, or answers that.
type ListText struct {
	Ask     bool   `json:"ask,omitempty"`     // the receiver's list is wanted, if it is younger
	Address string `json:"address,omitempty"` // the sender's peer address, ip:port, told when a link is opened and else empty
	Age     int64  `json:"age,omitempty"`     // milliseconds since the sender's list was read from the platform, by whomever
	Digest  uint64 `json:"digest,omitempty"`  // of the sender's list; 0 for none
	VMs     []VM   `json:"vms,omitempty"`     // of an answer: the whole list, or none if the asker has the same or a younger one
}
