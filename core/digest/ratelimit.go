package digest

import "time"

// RateLimit is the newest statement of a server on the rate of requests that it takes from all routers together.
type RateLimit struct {
	Server uint32  // hash of the incarnation
	Rate   float64 // requests per second; 0 for no limit
	Age    time.Duration
}
