// Package trace records and replays the steps of a router's control state. A
// trace is a header line followed by one line of JSON per step, with keys in camel
// case, which holds the input events and the resulting effects.
package trace
