// Package slopes is the command that measures how costs grow with one factor at a time.
package slopes
