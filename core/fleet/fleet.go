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

// String returns the cell as product/part, which is also the name of its duty.
func (c Cell) String() string { return fmt.Sprintf("%s/%d", c.Product, c.Part) }

// VM is a VM on the platform's list, which runs a router or a backend server.
type VM struct {
	Name       string  `json:"name,omitempty"`
	Address    string  `json:"address,omitempty"` // peer address of a router or service address of a backend server, ip:port
	Admin      string  `json:"admin,omitempty"`   // admin address, ip:port; empty for backend servers
	DataCentre string  `json:"dataCentre,omitempty"`
	Router     bool    `json:"router,omitempty"`
	State      VMState `json:"state,omitempty"`
}

// Heartbeat is sent to peers every HeartbeatPeriod, and immediately when the sender's view changes.
type Heartbeat struct {
	View          []uint32 `json:"view,omitempty"`          // hashes of the routers that the sender considers live, ascending
	ViewAge       int64    `json:"viewAge,omitempty"`       // milliseconds for which no earlier view of the sender can have been acted on
	ConfigVersion uint64   `json:"configVersion,omitempty"` // version in force at the sender; 0 for none
	Draining      bool     `json:"draining,omitempty"`      // the sender is stopping and takes no duty
	ViewSeq       uint64   `json:"viewSeq,omitempty"`       // number of view changes in the sender's incarnation
}

// TeamDemand is one team's demand at one router for one cell's product.
type TeamDemand struct {
	Team       string `json:"team,omitempty"`
	Waiting    int    `json:"waiting,omitempty"`    // waiting requests; 0 removes the team's demand
	Estimate   int64  `json:"estimate,omitempty"`   // expected cost of the oldest request, in cost units
	OldestWait int64  `json:"oldestWait,omitempty"` // wait of the oldest request so far, in milliseconds
	Prefix     uint64 `json:"prefix,omitempty"`     // prompt prefix hash of the oldest request; 0 for none
}

// Done reports the end of one grant.
type Done struct {
	Grant     uint64  `json:"grant,omitempty"`
	Outcome   Outcome `json:"outcome,omitempty"`
	Cost      int64   `json:"cost,omitempty"`      // total cost, in cost units
	FirstByte int64   `json:"firstByte,omitempty"` // microseconds from send to first byte; 0 if there was none
	Service   int64   `json:"service,omitempty"`   // microseconds from send to end
}

// Running reports a grant in use, with its cost so far. Team and Server are set in a full demand only.
type Running struct {
	Grant  uint64 `json:"grant,omitempty"`
	Team   string `json:"team,omitempty"`
	Server string `json:"server,omitempty"`
	Cost   int64  `json:"cost,omitempty"` // cost so far, in cost units
}

// Demand is an entry router's report to a cell's scheduler: the changes only, or the complete state if Full.
type Demand struct {
	Cell     Cell         `json:"cell,omitempty"`
	Seq      uint64       `json:"seq,omitempty"`
	Full     bool         `json:"full,omitempty"`     // Waiting and Running are complete and replace the known state of the sender
	SeenTerm uint64       `json:"seenTerm,omitempty"` // term of Seen
	Seen     uint64       `json:"seen,omitempty"`     // highest grant number received in SeenTerm
	Waiting  []TeamDemand `json:"waiting,omitempty"`
	Done     []Done       `json:"done,omitempty"`
	Running  []Running    `json:"running,omitempty"` // complete if Full, else those whose cost so far grew
	Limits   *Limits      `json:"limits,omitempty"`  // if Full, the limits that the sender keeps for a new scheduler; nil for none
}

// TermShift is the number of low bits of a grant's ID that hold its number within the term.
const TermShift = 14

// Grant permits one waiting request of a team to run on one backend server.
type Grant struct {
	ID      uint64 `json:"id,omitempty"` // unique in the scheduler's incarnation, ascending for each entry router
	Team    string `json:"team,omitempty"`
	Server  string `json:"server,omitempty"`
	Address string `json:"address,omitempty"` // service address of the server, ip:port
	Fencing bool   `json:"fencing,omitempty"` // the server checks fencing numbers
}

// Grants answers a router's demand. Term orders the schedulers of a cell and serves as the fencing number.
type Grants struct {
	Cell    Cell    `json:"cell,omitempty"`
	Term    uint64  `json:"term,omitempty"`
	Basis   int64   `json:"basis,omitempty"`   // receiver's clock, in milliseconds, as last received by the scheduler; unused grants lapse GrantLifetime after it
	TellAll bool    `json:"tellAll,omitempty"` // the scheduler does not know the receiver's complete demand, and asks for a full one
	Grants  []Grant `json:"grants,omitempty"`
	Limits  *Limits `json:"limits,omitempty"` // to be kept for the cell's next scheduler; nil for none
}

// Limits holds the server limits that a cell's scheduler learnt, for the next scheduler.
type Limits struct {
	Term    uint64        `json:"term,omitempty"`
	Version uint64        `json:"version,omitempty"` // increases with each change within the term
	Since   uint64        `json:"since,omitempty"`   // version to which Servers is a delta; 0 if it replaces all
	Servers []ServerLimit `json:"servers,omitempty"` // sorted by name
}

// ServerLimit is the concurrency limit learnt for a server in one epoch. A Limit or Epoch of 0 is unknown.
type ServerLimit struct {
	Server string `json:"server,omitempty"`
	Epoch  uint64 `json:"epoch,omitempty"`
	Limit  int    `json:"limit,omitempty"`
}

// Merge applies limits received from a cell's scheduler. A delta to another term or version than the kept one is dropped.
func (l *Limits) Merge(update Limits) {
	if update.Since == 0 {
		*l = update
		return
	}
	if update.Term != l.Term || update.Since != l.Version {
		return
	}
	l.Version = update.Version
	for _, s := range update.Servers {
		i, found := slices.BinarySearchFunc(l.Servers, s.Server, func(s ServerLimit, name string) int { return strings.Compare(s.Server, name) })
		if found {
			l.Servers[i] = s
			continue
		}
		l.Servers = slices.Insert(l.Servers, i, s)
	}
}

// Load is a backend server's load report.
type Load struct {
	Server  string `json:"server,omitempty"`
	Epoch   uint64 `json:"epoch,omitempty"`   // changes when the server restarts or becomes cold
	Running int    `json:"running,omitempty"` // requests in service
	Waiting int    `json:"waiting,omitempty"` // requests admitted but not yet in service
	Limit   int    `json:"limit,omitempty"`   // concurrency limit that the server advertises; 0 for none
	Age     int64  `json:"age,omitempty"`     // milliseconds between measurement and receipt, as far as known
}

// KeyOpen asks a key's home whether a non-idempotent request may be sent.
type KeyOpen struct {
	Ticket uint64 `json:"ticket,omitempty"` // chosen by the sender, echoed in the answer
	Team   string `json:"team,omitempty"`
	Key    string `json:"key,omitempty"`    // UUIDv7 in text form
	Digest uint64 `json:"digest,omitempty"` // hash of method, path and body
}

// KeyVerdict is a home's decision on a key.
type KeyVerdict int

//go:generate stringer -type=KeyVerdict -linecomment -output=keyverdict_string.go

// Verdicts on a key; the line comments are the names in text form.
const (
	KeyRefused    KeyVerdict = iota // refused
	KeyRun                          // run
	KeyAnswered                     // answered
	KeyInProgress                   // inProgress
	KeyUnknown                      // unknown
)

// KeyAnswer is a home's answer to KeyOpen. A KeyRun lapses KeyRunLifetime after the KeyOpen was sent.
type KeyAnswer struct {
	Ticket  uint64     `json:"ticket,omitempty"`
	Verdict KeyVerdict `json:"verdict,omitempty"`
	Reason  Reason     `json:"reason,omitempty"`
	Answer  Answer     `json:"answer,omitempty"`
	Wait    int64      `json:"wait,omitempty"` // milliseconds after which the home may permit a key that it refuses now; 0 for never
}

// Answer is the recorded answer to a finished non-idempotent request.
type Answer struct {
	Status      int    `json:"status,omitempty"`
	ContentType string `json:"contentType,omitempty"`
	Body        []byte `json:"body,omitempty"`
	Truncated   bool   `json:"truncated,omitempty"` // the body was too long to record
}

// KeyClose reports to a key's home how the request ended.
type KeyClose struct {
	Ticket  uint64     `json:"ticket,omitempty"` // of the KeyOpen that was answered KeyRun; has no effect for any other KeyOpen
	Router  string     `json:"router,omitempty"` // permitted to run the key; set only when a former home forwards the message
	Team    string     `json:"team,omitempty"`
	Key     string     `json:"key,omitempty"`
	Outcome KeyVerdict `json:"outcome,omitempty"` // KeyAnswered, KeyUnknown, or KeyRefused if no byte was sent
	Answer  Answer     `json:"answer,omitempty"`
}

// KeyLoan identifies the view in which a router lent itself to the home of a key slot.
type KeyLoan struct {
	Router      string `json:"router,omitempty"`
	Incarnation uint64 `json:"incarnation,omitempty"`
	ViewSeq     uint64 `json:"viewSeq,omitempty"`
}

// KeyRecord is a home's record of one key.
type KeyRecord struct {
	Team    string     `json:"team,omitempty"`
	Key     string     `json:"key,omitempty"`
	Router  string     `json:"router,omitempty"` // permitted to run the key
	Ticket  uint64     `json:"ticket,omitempty"` // of the router's KeyOpen
	Digest  uint64     `json:"digest,omitempty"`
	Verdict KeyVerdict `json:"verdict,omitempty"`
	Age     int64      `json:"age,omitempty"` // milliseconds since the permission
	Answer  Answer     `json:"answer,omitempty"`
}

// KeyHandover transfers the records of a key slot from its former home to the next one, in Parts messages.
type KeyHandover struct {
	Slot    int         `json:"slot,omitempty"`
	Number  uint64      `json:"number,omitempty"` // sequence number of the handover in the sender's incarnation
	Part    int         `json:"part,omitempty"`   // 0 to Parts-1
	Parts   int         `json:"parts,omitempty"`
	Since   int64       `json:"since,omitempty"` // Unix time in milliseconds: a key that is not on record was not run after it
	Loans   []KeyLoan   `json:"loans,omitempty"` // that the sender counted when it last held the slot; in the first part only
	Records []KeyRecord `json:"records,omitempty"`
	Recall  uint64      `json:"recall,omitempty"` // number of the KeyRecall that this answers; 0 for a handover
}

// KeyRecall requests a router's records of a key slot, and withdraws the KeyOpens that the router has pending at other homes.
type KeyRecall struct {
	Slot   int    `json:"slot,omitempty"`
	Number uint64 `json:"number,omitempty"` // sequence number of the recall in the sender's incarnation
}

// KeyCopy asks a router to keep a copy of a permission that the sender, which is the key's home, is about to use itself.
// If Done, it is the answer to such a message.
type KeyCopy struct {
	Record KeyRecord `json:"record,omitempty"`
	Done   bool      `json:"done,omitempty"` // the message is the answer
	Kept   bool      `json:"kept,omitempty"`
}

// ConfigAsk requests a peer's configuration if its version is newer than After.
type ConfigAsk struct {
	After uint64 `json:"after,omitempty"`
}

// ConfigText carries a version of the rule file between peers.
type ConfigText struct {
	Version uint64 `json:"version,omitempty"`
	Text    []byte `json:"text,omitempty"`
}

// MaxListText is the largest list of VMs that peers exchange, in bytes: the sum of its text fields and 16 for each VM.
const MaxListText = 1 << 20

// MaxField is the longest text field of a VM that peers exchange, in bytes.
const MaxField = 256

// ListText announces the sender's list of VMs, requests the receiver's list, or answers such a request.
type ListText struct {
	Ask     bool   `json:"ask,omitempty"`     // requests the receiver's list, if it is newer
	Address string `json:"address,omitempty"` // the sender's peer address, ip:port; set only when a link is opened
	Age     int64  `json:"age,omitempty"`     // milliseconds since any router read the sender's list from the platform
	Digest  uint64 `json:"digest,omitempty"`  // of the sender's list; 0 for none
	VMs     []VM   `json:"vms,omitempty"`     // in an answer: the complete list, or none if the requester has the same or a newer one
}
