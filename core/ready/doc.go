// Package ready decides when a router reports to the load balancer that it is not ready, so that new connections go to other routers,
// and which connections it asks callers to close meanwhile.
package ready
