// Package local runs a whole fleet as real processes on the loopback
// interface: routers in several data centres, stand-ins for the platform and
// the backend servers, and links on which faults can be brought about.
package local
