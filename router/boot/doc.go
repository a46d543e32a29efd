// Package boot parses a router's settings and assembles its components.
package boot
