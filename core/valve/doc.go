// Package valve bounds how many requests a router serves at once, by how long its goroutines wait for the processor.
package valve
