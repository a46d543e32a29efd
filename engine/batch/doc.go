// Package batch simulates a model engine as its callers see it: the time that
// requests take in a shared batch, and the crash of an overloaded cold engine.
package batch
