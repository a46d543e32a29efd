// Package pauses waits, between two tries or two looks at something, unless a context
// ends.
package pauses
