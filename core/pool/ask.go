package pool

import (
	"slices"
	"time"

	"mangolug.org/core/fleet"
)

// Ask is a request that wants a server.
type Ask struct {
	ID        string
	Service   string
	Team      string
	Prompt    int64  // tokens of the prompt; 0 for requests to plain services
	Output    int64  // tokens expected to be generated
	Parts     []Part // of the prompt, in order
	Arrived   time.Duration
	Objective time.Duration // when an answer stops being of full worth; a time, not a length
	Deadline  time.Duration // when nobody waits any more; a time
	Tried     []string      // servers that failed it
	Again     bool          // it was sent before

	beyond bool    // it exceeds its team's share of the fleet
	part   float64 // of what its team asks for that is within that share
	latest time.Duration
}

// cost gives the tokens that the request is charged: read ones count once and generated ones twice.
func (a *Ask) cost() int64 { return a.Prompt + 2*a.Output }

// tried reports a server that failed the request.
func (a *Ask) tried(server string) bool { return slices.Contains(a.Tried, server) }

// shared gives the parts of the prompt that other requests may have in common.
func (a *Ask) shared() []Part {
	if len(a.Parts) < 2 {
		return nil
	}
	return a.Parts[:len(a.Parts)-1]
}

// subject is the last shared part, which groups requests that should meet at one server.
func (a *Ask) subject() uint64 {
	if s := a.shared(); len(s) > 0 {
		return s[len(s)-1].ID
	}
	if len(a.Parts) > 0 {
		return a.Parts[0].ID
	}
	return 0
}

// Verdict is a decision on a request.
type Verdict struct {
	Ask        *Ask
	Reason     fleet.Reason
	Run        *Run // where it is sent; nil if it is refused
	RetryAfter time.Duration
	Backlog    time.Duration // of the best server, when it was decided
	Pace       float64       // tokens a millisecond at which servers are believed to read
	Waited     time.Duration
}

// Run is one sending of a request to a server.
type Run struct {
	Server Server
	Unread int64 // prompt tokens that the server is believed to have to read
	Again  int64 // those of them that other requests share, so that some server may have read them before
	Home   bool  // the server is where requests on the same subject go
	Cold   bool  // sent while the server was cold

	ask     *Ask
	backend *backend
	usage   Usage
	ahead   int64 // tokens that other requests had to have read first
	sent    time.Duration
	began   bool // the first event came
	ended   bool
}

// Result says how a run ended.
type Result struct {
	Failed   bool // by the server: an error, a break, or silence
	Lost     bool // no connection to the server
	Rejected bool // the server said that it did not run the request
	Another  bool // another server has the address
	Left     bool // the caller went away, or its time was up
}
