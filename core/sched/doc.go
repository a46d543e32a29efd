// Package sched decides which team's request runs next and on which backend
// server of a cell: weighted fair sharing, limits and placement, as a state
// machine that is fed events and gives grants.
package sched
