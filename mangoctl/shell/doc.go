// Package shell holds what all commands share: the factory that gives them
// their dependencies, the form of a command, and the exit codes.
package shell
