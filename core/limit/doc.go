// Package limit implements an adaptive concurrency limit for one backend server,
// bounded by its configured ceiling, and ejects a failing server with exponential
// backoff.
package limit
