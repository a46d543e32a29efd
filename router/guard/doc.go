// Package guard runs a program's long-lived parts as a tree of supervised
// children that are restarted when they fail.
package guard
