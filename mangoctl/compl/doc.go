// Package compl is the command that writes completion scripts for shells.
package compl
