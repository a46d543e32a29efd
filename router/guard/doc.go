// Package guard runs the long-running components of a program as a tree of
// supervised children, which are restarted when they fail.
package guard
