// Package diff implements "mangoctl diff", which compares two rule files by their rules.
package diff
