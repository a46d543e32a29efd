// Package route finds the route, the service and the team of a request in a
// configuration. A Table never changes, so that readers share it without locks.
package route
