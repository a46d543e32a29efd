// Package digest spreads what each router has in use and asks for to all others,
// summed up on the way: each router reports to one of a lower address in its data
// centre, and those that report to none, the heads of the data centres, exchange
// their sums. Each router is told the sum of all others, and how many it covers.
// Routers find each other by heartbeat counters that are gossiped. It does no I/O,
// and the time is passed in.
package digest
