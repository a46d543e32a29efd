// Package main is the router, the only program of the fleet and the same on every VM.
package main
