// Package relay passes requests from callers to backend servers and answers back.
// What is said on the wire comes through a Dialect, and decisions on servers,
// waiting and refusals come from core/pool.
package relay
