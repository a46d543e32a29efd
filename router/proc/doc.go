// Package proc runs a router process that chooses a backend server for each
// request by itself: its listeners, readiness checks, logs and graceful stop.
package proc
