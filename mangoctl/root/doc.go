// Package root registers all commands and runs the one that the command line selects.
package root
