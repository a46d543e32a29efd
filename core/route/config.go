package route

import "time"

//go:generate stringer -type=Kind -linecomment -output=enums_string.go

// Kind is the retry behaviour of a route's requests.
type Kind int

// Route kinds; the line comments are their names in the configuration.
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

// Route sends the requests for a host and a path prefix to one or more services.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Timeout   time.Duration // maximum duration of a request; 0 for no limit
	Objective time.Duration // latency objective of the response, or of the first event of a stream
	Attempts  int           // maximum number of backend servers on which one request may run
	Public    bool          // requires no key
	Resumable bool          // another server can resume a stream
	Split     []WeightedService
}

// Idempotent reports whether requests of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == KindSafe || r.Kind == KindStream && r.Resumable
}

// WeightedService is the weight of one service in a route's split.
type WeightedService struct {
	Service string
	Weight  int
}

// Service is a set of interchangeable backend servers.
type Service struct {
	Name           string
	HealthPath     string        // path of its servers' health checks; empty if there are none
	Model          bool          // its servers run a language model
	MaxConnections int           // maximum number of connections that each server accepts
	ColdRate       float64       // requests per second that a cold server tolerates
	ColdStart      time.Duration // how long a server stays cold after its start
	Slots          int           // requests that each server runs concurrently; 0 if unknown
	CacheTokens    int64         // size of each server's KV cache in tokens; 0 if unknown
}

// Team is a customer and the API keys of its requests.
type Team struct {
	Name string
	Keys []string
}

// Limits are the limits on callers' requests and connections.
type Limits struct {
	HeaderBytes     int
	BodyBytes       int64
	IdleTimeout     time.Duration // idle timeout of a connection; 0 for the router's default
	TokensPerSecond float64       // throughput of all model servers together; a prompt token counts once, a generated token twice
}
