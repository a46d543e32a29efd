// Package loop runs a router's control state in one goroutine. It receives events from traffic, peers and the
// platform, and carries out the resulting effects.
package loop
