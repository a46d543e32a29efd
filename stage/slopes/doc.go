// Package slopes is the command that measures how the decision core's cost grows.
package slopes
