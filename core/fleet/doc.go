// Package fleet defines the members of a fleet and the messages that its routers
// exchange. It contains data types only and does no I/O.
package fleet
