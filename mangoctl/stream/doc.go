// Package stream holds the streams that a command reads from and writes to:
// data goes to standard output, talk to standard error.
package stream
