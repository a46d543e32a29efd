// Package serve answers the platform's read and watch calls from memory, counts
// every call, and lets tests take the service down, make it stale or turn it back.
package serve
