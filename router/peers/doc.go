// Package peers links a router with its peers: one ordered gRPC stream each
// way for each pair, over mutual TLS derived from the shared fleet secrets.
package peers
