// Package stream holds the streams that a command reads from and writes to:
// data goes to standard output, diagnostics to standard error.
package stream
