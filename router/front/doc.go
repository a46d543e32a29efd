// Package front implements the HTTP interface for callers. It authenticates and
// admits each request, forwards it to a backend server and relays the answer, or
// refuses the request with a typed reason.
package front
