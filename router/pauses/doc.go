// Package pauses holds the pauses between two tries of something that goes on until
// its context ends.
package pauses
