// Package expl is the command that explains a request or a team: why it
// waits, why it was refused, and why it went where it went.
package expl
