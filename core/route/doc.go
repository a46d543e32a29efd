// Package route finds the route, the service and the team of a request in a
// configuration. A Table is immutable, so readers share it without locks.
package route
