// Package trace writes and replays recorded steps of a router's control state:
// a header line and then one JSON line a step, in camel case, with the events
// that went in and the effects that came out.
package trace
