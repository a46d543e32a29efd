// Package fleet names the members of a fleet and the typed messages that its
// routers exchange; it holds data only and does no I/O.
package fleet
