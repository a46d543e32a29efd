// Package delay is the command that measures what a router adds to a call, and
// how many short calls a second one router carries.
package delay
