// Package head checks the heads of HTTP/1 answers as they stand on the wire, where net/http passes over what RFC 9112 forbids: blanks in the names of fields
// and lines that continue others, a status that isn't one, and chunks in HTTP/1.0.
package head
