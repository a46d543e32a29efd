// Package sched decides which team's request runs next and on which backend
// server of a cell. It implements weighted fair sharing, limits and placement
// as a state machine that processes events and issues grants.
package sched
