// Package root puts the commands of stage together and runs the one that was asked for.
package root
