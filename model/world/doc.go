// Package world simulates the decision code of many routers in virtual time, without a
// network, against a model of the servers: batching, chunked prefill, prefix
// caching, memory, and load reports that arrive late.
package world
