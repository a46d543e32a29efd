// Package back sends attempts to backend servers. Each failure reports whether
// a byte of the request may have been sent.
package back
