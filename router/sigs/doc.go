// Package sigs owns the signals of a router's process from its start to its end.
package sigs
