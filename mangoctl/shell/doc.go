// Package shell holds what all commands share: the factory that provides their
// dependencies, the Command type, and the exit codes.
package shell
