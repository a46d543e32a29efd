// Package entry is a router's own side of sharing: the waiting rooms in which
// requests wait for grants, and the demand told to each cell's scheduler.
package entry
