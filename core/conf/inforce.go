package conf

import "mangolug.org/core/rule"

// InForce is an accepted configuration with its indexes. It is immutable.
type InForce struct {
	Version        uint64
	Digest         string // SHA-256 of the text, in hex
	Text           []byte
	File           *rule.File
	TeamsByKey     map[[32]byte]*rule.Team
	Teams          map[string]*rule.Team
	Products       map[string]*rule.Product
	Servers        map[string][]rule.Server // by product
	DataCentresOut map[string]bool          // data centres out of service
}
