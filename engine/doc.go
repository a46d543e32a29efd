// Engine simulates model engines: continuous batching, streaming, a prefix
// cache, cold start, delayed load reports, and fencing.
package main
