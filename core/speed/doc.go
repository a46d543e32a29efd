// Package speed estimates how fast the servers of a service are: the service's rate and fixed part from the times to first event, the
// speed of each server relative to its service, and the slowdown that a server reports for the moment. It does no I/O, and callers pass
// in the time.
package speed
