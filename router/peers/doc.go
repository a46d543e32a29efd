// Package peers connects a router to its peers. Each pair of routers uses one
// ordered gRPC stream in each direction, over mutual TLS with certificates
// derived from the shared fleet secrets.
package peers
