// Package keys records non-idempotent requests by their idempotency keys, so
// that a key's home permits each of them to run at most once.
package keys
