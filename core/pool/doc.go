// Package pool decides at one router which backend server runs a request, and which requests wait or are rejected. It learns
// of the servers from the platform, and of their load from this router's own requests, from responses and from the summaries
// of the other routers. It does no I/O, and callers pass in the time.
package pool
