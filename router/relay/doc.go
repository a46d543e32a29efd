// Package relay passes requests from callers to backend servers and answers back.
// A HeaderCodec translates the headers on the wire, and core/pool decides about
// servers, queueing and refusals.
package relay
