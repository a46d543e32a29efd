// Package sock reads socket state from the system that package net does not expose.
package sock
