package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"net/http"
)

// fingerprint returns a hash that is the same each time a caller sends the same request: of its method, its path and query, the caller's
// key, which is empty on public routes, and its body. Every attempt of a caller has another id, so that the id can't show it.
func fingerprint(r *http.Request, key string, body []byte) uint64 {
	h := sha256.New()
	for _, field := range []string{r.Method, r.RequestURI, r.Host, key} {
		var length [8]byte // of the field, so that fields can't run into each other
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // hash.Hash.Write never returns an error
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return binary.BigEndian.Uint64(h.Sum(nil))
}
