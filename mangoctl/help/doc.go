// Package help implements "mangoctl help", which explains the other commands, with examples.
package help
