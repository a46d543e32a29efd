// Package member decides which routers are live and which of them holds a
// duty, by heartbeats and leased views, without consensus or stored state.
package member
