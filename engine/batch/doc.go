// Package batch is a model engine as its callers see it: what it costs to run
// requests in one batch, and how the engine breaks under too many when cold.
package batch
