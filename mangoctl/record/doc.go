// Package record is the command that fetches the trace of a running router.
package record
