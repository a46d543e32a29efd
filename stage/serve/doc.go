// Package serve is the command that starts a fleet on this machine and keeps
// it until it is interrupted.
package serve
