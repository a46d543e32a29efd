package conf

import (
	"crypto/sha256"
	"encoding/hex"

	"mangolug.org/core/rule"
)

// newInForce returns the accepted file with its indexes.
func newInForce(version uint64, text []byte, file *rule.File) *InForce {
	c := &InForce{
		Version:        version,
		Digest:         digest(text),
		Text:           text,
		File:           file,
		TeamsByKey:     make(map[[32]byte]*rule.Team, len(file.Teams)),
		Teams:          make(map[string]*rule.Team, len(file.Teams)),
		Products:       make(map[string]*rule.Product, len(file.Products)),
		Servers:        make(map[string][]rule.Server, len(file.Products)),
		DataCentresOut: map[string]bool{},
	}
	for i := range file.Teams {
		t := &file.Teams[i]
		c.TeamsByKey[t.KeyDigest] = t
		c.Teams[t.Name] = t
	}
	for i := range file.Products {
		c.Products[file.Products[i].Name] = &file.Products[i]
	}
	for _, s := range file.Servers {
		c.Servers[s.Product] = append(c.Servers[s.Product], s)
	}
	for _, d := range file.DataCentres {
		if !d.InService {
			c.DataCentresOut[d.Name] = true
		}
	}
	return c
}

// digest returns the SHA-256 of a text in hex.
func digest(text []byte) string {
	sum := sha256.Sum256(text)
	return hex.EncodeToString(sum[:])
}
