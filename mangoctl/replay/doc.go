// Package replay is the command that runs a recorded trace through the
// decision core again and compares the outcome.
package replay
