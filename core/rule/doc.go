// Package rule parses the operators' rule file: plain text with one rule per
// line, each with a comment that names who asked for it.
package rule
