// Package expl implements "mangoctl explain", which explains why a request or a
// team waits, why it was refused, and why it was routed to its backend servers.
package expl
