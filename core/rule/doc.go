// Package rule reads the operators' rule file: plain text, one rule a line,
// each with a comment on who asked for it.
package rule
