// Package sock asks the system about a socket what net does not tell.
package sock
