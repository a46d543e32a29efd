// Package help is the command that explains the other commands, with examples.
package help
