// Package sock reads socket state that package net does not expose, and resets connections.
package sock
