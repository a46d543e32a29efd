// Package record implements "mangoctl record", which fetches the trace of a running router.
package record
