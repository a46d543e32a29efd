// Package loop is the one goroutine that owns a router's control state:
// membership, configuration, waiting rooms, the cells it schedules and the
// keys it is home of.
package loop
