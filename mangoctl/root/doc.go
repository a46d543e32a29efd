// Package root puts the commands together and runs the one that was asked for.
package root
