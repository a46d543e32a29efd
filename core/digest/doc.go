// Package digest distributes each router's usage and offered load to all others,
// aggregated on the way. Each router reports to a relay with a lower address in
// its data centre. Routers that report to no relay, the heads of the data centres,
// exchange their sums. Each router receives the sum of all others and the number
// of routers that it covers. Routers discover each other through gossiped heartbeat
// counters. The package does no I/O, and the caller passes in the time.
package digest
