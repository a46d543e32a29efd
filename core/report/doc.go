// Package report defines the status reports of a router for operators, which its
// admin address serves as JSON and the operators' command line reads.
package report
