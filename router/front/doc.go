// Package front is the callers' HTTP interface: it authenticates, admits,
// sends and answers each request, and refuses with typed reasons.
package front
