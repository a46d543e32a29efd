// Package trial runs one load on one fleet and gathers what it showed.
package trial
