// Package diff is the command that compares two rule files in operators' terms.
package diff
