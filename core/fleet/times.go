package fleet

import "time"

// Times that routers agree on.
const (
	// HeartbeatPeriod is the time between two heartbeats to a peer.
	HeartbeatPeriod = 300 * time.Millisecond
	// SilenceLimit is how long a peer may be silent before it is regarded as lost.
	SilenceLimit = 800 * time.Millisecond
	// ViewLease is how long a router's view binds it after a peer's stamp that it echoed.
	ViewLease = 800 * time.Millisecond
	// GrantLifetime is how long after its basis an unused grant may still be used.
	GrantLifetime = 800 * time.Millisecond
	// KeyRunLifetime is how long after asking a permission to run a key may be used.
	KeyRunLifetime = 800 * time.Millisecond
	// ClockDrift is the allowance for clocks that run at different rates.
	ClockDrift = 50 * time.Millisecond
)

// FullPace is the largest fleet, in routers, in which all read the platform at full pace. In a larger one the reads of routers
// without a role become rarer as it grows, and they go by their readers.
const FullPace = 9
