package pool

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// Ask is a request that needs a backend server.
type Ask struct {
	ID        string
	Service   string
	Team      string
	Prompt    int64  // prompt tokens; 0 for requests to plain services
	Output    int64  // estimated number of generated tokens
	Parts     []Part // prompt parts, in order
	Arrived   time.Duration
	Objective time.Duration // point in time by which a response meets its latency objective
	Deadline  time.Duration // point in time at which the caller gives up
	Tried     []string      // servers that failed the request
	Again     bool          // the request is a retry

	overShare     bool    // the request exceeds its team's share of the fleet
	shareFraction float64 // fraction of the team's demand that is within its share
	sendBy        time.Duration
}

// cost returns the tokens that the request is charged: a prompt token counts once and a generated token twice.
func (a *Ask) cost() int64 { return a.Prompt + 2*a.Output }

// tried reports whether a server has already failed the request.
func (a *Ask) tried(server string) bool { return slices.Contains(a.Tried, server) }

// sharedParts returns the prompt parts that other requests may share.
func (a *Ask) sharedParts() []Part {
	if len(a.Parts) < 2 {
		return nil
	}
	return a.Parts[:len(a.Parts)-1]
}

// affinityKey returns the key that groups requests to be sent to the same server: the ID of the last shared part, or of the
// only part, or 0 if there are no parts.
func (a *Ask) affinityKey() uint64 {
	if s := a.sharedParts(); len(s) > 0 {
		return s[len(s)-1].ID
	}
	if len(a.Parts) > 0 {
		return a.Parts[0].ID
	}
	return 0
}

// Verdict is the admission decision on a request.
type Verdict struct {
	Ask        *Ask
	Reason     fleet.Reason
	Run        *Run // run that was started; nil if the request was rejected
	RetryAfter time.Duration
	Backlog    time.Duration // backlog of the best server at the time of the decision
	Pace       float64       // estimated prefill rate of the servers in tokens per millisecond
	Waited     time.Duration
}

// Run is one attempt to run a request on a server.
type Run struct {
	Server Server
	Unread int64 // estimated number of prompt tokens that the server has to prefill
	Again  int64 // those of them in shared parts, which some server may have prefilled already
	Home   bool  // the server is the request's home by prefix affinity
	Cold   bool  // the server was cold when the request was sent

	request      *Ask
	backend      *backend
	usage        Usage
	prefillAhead int64 // tokens of other requests to be prefilled first
	sent         time.Duration
	began        bool // the first event has arrived
	ended        bool
}

// Result is the outcome of a run.
type Result struct {
	Failed   bool // the server failed: an error, a broken response or a timeout
	Lost     bool // the connection to the server failed
	Rejected bool // the server reported that it did not run the request
	Another  bool // another server has the address
	Left     bool // the caller cancelled or its deadline passed
}
