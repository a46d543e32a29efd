package route

import "time"

//go:generate stringer -type=Kind -linecomment -output=enums_string.go

// Kind says what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	KindUnsafe Kind = iota // unsafe
	KindSafe               // safe
	KindStream             // stream
)

// Config is one version of the operator's configuration.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Route sends the requests of a host below a path prefix to one or more services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // longest time that a request is kept; 0 for no limit
	Objective time.Duration // time within which an answer, or the first event of a stream, is of full worth
	Attempts  int           // backend servers on which one request may run
	Public    bool          // needs no key
	Resumable bool          // a stream may go on at another server
	Split     []Share
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name        string
	Model       bool          // its servers run a language model
	Connections int           // that each server accepts from all callers
	ColdRate    float64       // requests a second that a cold server tolerates
	ColdStart   time.Duration // how long a server is cold after its start
	Slots       int           // requests that each server runs at once; 0 if not told
	CacheTokens int64         // KV cache of each server in tokens; 0 if not told
}

// Team is a customer with the keys that its requests carry.
type Team struct {
	Name string
	Keys []string
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	Idle            time.Duration // for which a connection may stay unused; 0 for the router's own bound
	TokensPerSecond float64       // that all model servers together give: each token read counts once, each generated twice
}
