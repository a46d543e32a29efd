// Package proc is a router process that decides on its own which backend server
// runs a request: its listeners, its readiness, its logs, and its graceful stop.
package proc
