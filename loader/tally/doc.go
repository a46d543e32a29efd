// Package tally counts what a load run saw and works out its result.
package tally
