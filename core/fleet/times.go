package fleet

import "time"

// Time limits that all routers share.
const (
	// HeartbeatPeriod is the time between two heartbeats to a peer.
	HeartbeatPeriod = 300 * time.Millisecond
	// PeerTimeout is the time without a message after which a peer is considered lost.
	PeerTimeout = 800 * time.Millisecond
	// ViewLease is how long a router is bound by its view after a peer's stamp that it echoed.
	ViewLease = 800 * time.Millisecond
	// GrantLifetime is the time after its basis during which an unused grant may still be used.
	GrantLifetime = 800 * time.Millisecond
	// KeyRunLifetime is the time after the KeyOpen was sent during which a permission to run a key may be used.
	KeyRunLifetime = 800 * time.Millisecond
	// ClockDrift is the margin for clocks that run at different rates.
	ClockDrift = 50 * time.Millisecond
)

// FullRateFleet is the largest fleet, in routers, in which all routers poll the platform at the full rate. In a larger fleet,
// routers without a role poll less often as the fleet grows, and rely on the routers that read for them.
const FullRateFleet = 9
