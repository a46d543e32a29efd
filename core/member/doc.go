// Package member tracks which routers are live and which of them holds a duty.
// It uses heartbeats and leased views, without consensus or persistent state.
package member
