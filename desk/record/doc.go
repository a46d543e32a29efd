// Package record is a plain service that records each run of each call, so
// that a second run of one that must not be repeated is seen.
package record
