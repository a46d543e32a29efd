// Package proof holds the tests of the promises, run with real processes.
package proof
