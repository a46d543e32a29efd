// Package fault forwards TCP connections over named links and delays, holds,
// cuts, truncates, duplicates or swaps what passes, as its rules say.
package fault
