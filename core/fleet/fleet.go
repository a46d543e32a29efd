package fleet

import "fmt"

// Cell is a group of one product's backend servers that one router at a time schedules.
type Cell struct {
	Product string
	Part    int // 0 to parts-1; a small product has one part
}

// String gives the cell as product/part, also the name of its duty.
func (c Cell) String() string { return fmt.Sprintf("%s/%d", c.Product, c.Part) }

// VM is a machine on the platform's list, of a router or of a backend server.
type VM struct {
	Name       string
	Address    string // peer address, ip:port; of a backend server its service address
	Admin      string // admin address, ip:port; empty for backend servers
	DataCentre string
	Router     bool
	State      VMState
}

// Heartbeat is sent to peers every period and at once when the sender's view changes.
type Heartbeat struct {
	View          []uint32 // hashes of the routers that the sender regards as live, ascending
	ViewAge       int64    // milliseconds since the sender's view last changed
	ConfigVersion uint64   // version in force at the sender; 0 for none
	Draining      bool     // the sender is stopping and takes no duty
	ViewSeq       uint64   // counts the changes of the view in the sender's incarnation
}

// TeamDemand is what one team has waiting at one router for one cell's product.
type TeamDemand struct {
	Team       string
	Waiting    int    // requests; 0 removes the team's demand
	Estimate   int64  // expected cost of the oldest, in cost units
	OldestWait int64  // milliseconds that the oldest has waited
	Prefix     uint64 // prompt prefix hash of the oldest; 0 for none
}

// Done reports the end of one grant.
type Done struct {
	Grant     uint64
	Outcome   Outcome
	Cost      int64 // cost units used in all
	FirstByte int64 // microseconds from send to first byte; 0 if none came
	Service   int64 // microseconds from send to end
}

// Running reports a grant in use, with its cost so far.
type Running struct {
	Grant  uint64
	Team   string
	Server string
	Cost   int64 // cost units used so far
}

// Demand is what an entry router tells a cell's scheduler: only what changed, or all when Full.
type Demand struct {
	Cell     Cell
	Seq      uint64
	Full     bool   // Waiting and Running are complete and replace all that was known of the sender
	SeenTerm uint64 // term that Seen counts in
	Seen     uint64 // highest grant number received in SeenTerm
	Waiting  []TeamDemand
	Done     []Done
	Running  []Running // complete when Full, else those whose cost so far grew
}

// Grant lets one waiting request of a team run on one backend server.
type Grant struct {
	ID      uint64 // unique in the scheduler's incarnation, ascending for each entry router
	Team    string
	Server  string
	Address string // service address of the server, ip:port
	Fencing bool   // the server checks fencing numbers
}

// Grants answers a router's demand; Term orders schedulers of a cell and serves as fencing number.
type Grants struct {
	Cell   Cell
	Term   uint64
	Basis  int64 // receiver's own clock, in milliseconds, as last heard by the scheduler; unused grants lapse GrantLifetime after it
	Grants []Grant
}

// Load is a backend server's own report.
type Load struct {
	Server  string
	Epoch   uint64 // changes when the server restarts or turns cold
	Running int    // requests in service
	Waiting int    // requests admitted but not yet in service
	Limit   int    // what the server says it bears; 0 if it does not say
	Age     int64  // milliseconds between measurement and receipt, as far as known
}

// KeyOpen asks a key's home whether a non-idempotent request may be sent.
type KeyOpen struct {
	Ticket uint64 // chosen by the asker, echoed in the answer
	Team   string
	Key    string // UUIDv7 text
	Digest uint64 // hash of method, path and body
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
	Ticket  uint64
	Verdict KeyVerdict
	Reason  Reason
	Answer  Answer
}

// Answer is the recorded answer of a finished non-idempotent request.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Truncated   bool // the body was too long to record
}

// KeyClose tells a key's home how its request ended.
type KeyClose struct {
	Team    string
	Key     string
	Outcome KeyVerdict // KeyAnswered, KeyUnknown, or KeyRefused when no byte left
	Answer  Answer
}

// ConfigAsk asks a peer for its configuration when newer than After.
type ConfigAsk struct {
	After uint64
}

// ConfigText carries a version of the rule file from peer to peer.
type ConfigText struct {
	Version uint64
	Text    []byte
}
