// Package loop feeds a router's control state from one goroutine: traffic,
// peers and the platform hand it events, and it carries out the effects.
package loop
