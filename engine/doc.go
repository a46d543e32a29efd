// Engine stands in for model engines: continuous batching, streams, a prefix
// cache, cold start, load reports with a lag, and fencing.
package main
