// Package back sends attempts to backend servers and says of each failure
// whether a byte may have left.
package back
