// Package boot reads and checks a router's settings and wires its parts together.
package boot
