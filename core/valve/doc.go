// Package valve limits how many requests a router serves concurrently, based on how long its goroutines wait for the CPU.
package valve
