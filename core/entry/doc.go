// Package entry implements the entry router's part of scheduling: the queues in
// which requests wait for grants, and the demand reported to each cell's scheduler.
package entry
