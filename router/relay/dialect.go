package relay

import (
	"net/http"
	"time"

	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

// RequestInfo holds the values from a caller's request header.
type RequestInfo struct {
	ID         string
	Key        string         // the team's key
	Timeout    time.Duration  // how long the caller will wait; 0 if not given
	Prompt     int64          // tokens
	Output     int64          // limit on the tokens to generate
	LengthHint int64          // the caller's estimate of the tokens to be generated; 0 if not given
	Segments   []pool.Segment // segments of the prompt
	LastEvent  string         // resume the stream after this event; empty means from its start
	BegunBy    string         // id of the caller's attempt that brought the first event of that stream; empty if not given
}

// Outgoing holds the values that a router sets in the header of a request to a backend server.
type Outgoing struct {
	Server    string // id; a different server at the same address rejects the request
	Team      string // empty on public routes
	Timeout   time.Duration
	LastEvent string
}

// ResponseInfo holds the values from the header of a server's answer.
type ResponseInfo struct {
	ID            string // id of the answered request
	Server        string // id; empty if not given
	Signed        bool   // carries a server's signature
	NotRun        bool   // the server reports that it did not run the request
	Load          pool.Load
	HasLoad       bool
	ColdRemaining time.Duration // remaining time for which the server is cold; 0 if not given
	Leaving       bool          // the server is about to stop and must get no more requests
	RetryAfter    time.Duration // how long the server asks this router to send no requests; 0 if not given
	RateLimit     float64       // requests per second that the server takes from all routers together; 0 if not given
	BadRateLimit  bool          // it is given and can't be parsed
	Malformed     string        // a header that could not be parsed, verbatim; empty if none
}

// Probe is a call to a server that only the very process that it is meant for answers as expected.
type Probe struct {
	Path   string
	Header http.Header
	Proves func(status int, h http.Header, body []byte) bool // reports whether the answer is of that process
}

// Report is a call by which a server tells which requests it runs.
type Report struct {
	Path     string                                          // empty if the server has no report
	Requests func(status int, body []byte) ([]string, error) // returns the ids of the requests
}

// HeaderCodec parses and sets the headers on the wire. All fields must be set but Report.
type HeaderCodec struct {
	ParseRequest  func(h http.Header) (RequestInfo, error) // parses a caller's header; returns an error if it is invalid
	WriteRequest  func(h http.Header, s Outgoing)          // removes headers that servers must not get and sets those of the router
	ParseResponse func(h http.Header) ResponseInfo         // parses a server's header
	SetRequestID  func(h http.Header, request string)      // sets the request id in the header of a router's own answer

	Probe  func(s pool.Server, service route.Service) Probe  // returns the call by which a server shows that it still runs
	Report func(s pool.Server, service route.Service) Report // returns the call by which it tells its requests; nil if servers have none
}
