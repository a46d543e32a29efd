package relay

import (
	"net/http"
	"time"

	"mangolug.org/core/pool"
)

// Asked is what a caller's header says of its request.
type Asked struct {
	ID        string
	Key       string        // of the team
	Left      time.Duration // how long the caller will wait; 0 if it does not say
	Prompt    int64         // tokens
	Output    int64         // most tokens to be generated
	Hint      int64         // the caller's guess of the tokens to be generated; 0 if none
	Parts     []pool.Part   // of the prompt
	LastEvent string        // the stream goes on after this event; empty from its start
}

// Sending is what a router tells a backend server with a request.
type Sending struct {
	Server    string // id; another server at the address turns the request down
	Team      string // empty on public routes
	Left      time.Duration
	LastEvent string
}

// Told is what the header of a server's answer says.
type Told struct {
	ID      string // of the request that it answers
	Server  string // id; empty if it is not told
	Signed  bool   // it has a server's signature
	NotRun  bool   // the server says that it did not run the request
	Load    pool.Load
	HasLoad bool
	ColdFor time.Duration // how much longer the server is cold; 0 if it is not told
	Leaving bool          // the server is about to end, and is to get nothing more
	RestFor time.Duration // how long the server wants nothing from this router; 0 if it is not told
	Odd     string        // a header that could not be read, as it came; empty for none
}

// Dialect translates between headers on the wire and what they mean; all fields must be set.
type Dialect struct {
	Read  func(h http.Header) (Asked, error)  // a caller's header; an error means that it can't be understood
	Write func(h http.Header, s Sending)      // removes what is not for servers, and sets what routers say
	Told  func(h http.Header) Told            // a server's header
	Name  func(h http.Header, request string) // names the request that a router's own answer belongs to
}
