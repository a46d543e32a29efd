// Package table writes rows for people on a terminal and for programs in a pipe.
package table
