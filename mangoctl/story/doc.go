// Package story is the command that tells a request's way from the logs of
// several routers: what each decided, what it believed then, and what is missing.
package story
