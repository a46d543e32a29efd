// Package story implements "mangoctl why", which reconstructs the history of a
// request from the logs of several routers: what each router decided, the state
// of its servers and of the router at that time, and what the logs lack.
package story
