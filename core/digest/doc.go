// Package digest spreads what each router has in use and asks for to all others,
// summed up on the way: routers of a data centre tell one of them, the relay,
// which exchanges sums with the relays of the other data centres and tells each
// router the sum of all others. Routers find each other by heartbeat counters
// that are gossiped. It does no I/O, and the time is passed in.
package digest
