// Package pool decides at one router which backend server runs a request, what
// waits, and what is refused. It knows the servers from the platform, their load
// from this router's own requests, from answers and from the other routers'
// summaries. It does no I/O, and the time is passed in.
package pool
