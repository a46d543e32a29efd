// Package report holds what a router tells operators about itself, as JSON on
// its admin address and as input of the operators' command line.
package report
