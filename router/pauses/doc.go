// Package pauses sleeps between retries or periodic checks until a context ends, and
// computes exponential backoff.
package pauses
