// Package table writes rows as an aligned table on a terminal and as tab-separated values in a pipe.
package table
