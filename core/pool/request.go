package pool

import (
	"sync/atomic"
	"time"

	"mangolug.org/core/fleet"
)

// Request is a request that needs a backend server.
type Request struct {
	ID           string
	Service      string
	Route        string // name of its route
	Team         string
	PromptTokens int64     // prompt tokens; 0 for requests to plain services
	OutputTokens int64     // estimated number of generated tokens
	Segments     []Segment // prompt segments, in order
	Arrived      time.Duration
	Objective    time.Duration // point in time by which a response meets its latency objective
	Deadline     time.Duration // point in time at which the caller gives up
	CallerTime   time.Duration // how long its caller said that it waits; 0 if unknown
	Tried        []string      // servers that failed the request
	Retry        bool          // part of the work is done already: a retry, or the rest of a stream
	Pinned       bool          // it goes on with a stream that began at a server of the given version
	Version      uint32        // VersionID of that version
	Fingerprint  uint64        // the same each time the same caller sends the same request

	observed      bool    // counted in the demand of its team and service by RejectUnread
	overShare     bool    // the request exceeds its team's share of the fleet
	lot           float64 // random number in [0, 1) by which requests over their team's share are selected for idle capacity
	shareFraction float64 // fraction of the team's demand that is within its share
	sendBy        time.Duration
	returning     bool       // its caller was refused before
	admitted      bool       // it is one of those for which a plain service has capacity
	small         bool       // leaves the turns of servers that limit their rates to larger requests
	trials        []*suspect // the poisoned subjects that the request may try again
}

// cost returns the tokens that the request is charged: a prompt token counts once and a generated token twice.
func (a *Request) cost() int64 { return a.PromptTokens + 2*a.OutputTokens }

// sharedSegments returns the prompt segments that other requests may share.
func (a *Request) sharedSegments() []Segment { return SharedSegments(a.Segments) }

// SharedSegments returns the segments of a prompt that other requests may share: all but the last.
func SharedSegments(segments []Segment) []Segment {
	if len(segments) < 2 {
		return nil
	}
	return segments[:len(segments)-1]
}

// affinityKey returns the key that groups requests to be sent to the same server: the ID of the last shared part, or of the
// only segment, or 0 if there are no segments.
func (a *Request) affinityKey() uint64 {
	if s := a.sharedSegments(); len(s) > 0 {
		return s[len(s)-1].ID
	}
	if len(a.Segments) > 0 {
		return a.Segments[0].ID
	}
	return 0
}

// Decision is the admission decision on a request.
type Decision struct {
	Request     *Request
	Reason      fleet.Reason
	Run         *Run // run that was started; nil if the request was rejected
	RetryAfter  time.Duration
	Backlog     time.Duration // backlog of the best server at the time of the decision
	PrefillRate float64       // estimated prefill rate of the service in tokens per millisecond
	Speed       float64       // estimated speed of the run's server relative to its service
	Moment      int           // how long work takes at that server at the moment, in percent of the usual time, as it reports
	Waited      time.Duration
}

// Run is one attempt to run a request on a server.
type Run struct {
	Server              Server
	PrefillTokens       int64 // estimated number of prompt tokens that the server has to prefill
	SharedPrefillTokens int64 // those of them in shared segments, which some server may have prefilled already
	Home                bool  // the server is the request's home by prefix affinity
	Cold                bool  // the server was cold when the request was sent

	request      *Request
	backend      *backend
	usage        Usage
	loadAhead    int64 // requests at the server when it was sent
	prefillAhead int64 // tokens of other requests to be prefilled first
	sent         time.Duration
	began        bool          // the first event has arrived
	beganAt      time.Duration // when it arrived
	answered     atomic.Bool   // the header of the response has arrived
	lastEventAt  atomic.Int64  // time of the newest event
	ended        bool
}

// Result is the outcome of a run.
type Result struct {
	Failed        bool // the server failed: an error, a broken response or a timeout
	Broken        bool // the connection ended before the response did, so that the server may have ended
	ConnectFailed bool // the connection to the server failed
	Rejected      bool // the server reported that it did not run the request
	AddressReused bool // another server has the address
	CallerGone    bool // the caller cancelled or its deadline passed
}
