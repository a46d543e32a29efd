package pool

import (
	"slices"
	"time"
)

// cacheTTL is how long a server is assumed to cache a prompt part after this router last sent it. Servers evict the least
// recently used entries, and at full load they replace their whole cache in about this time.
const cacheTTL = 10 * time.Second

// maxCachedSegments is the maximum number of prompt segments recorded for one server.
const maxCachedSegments = 4096

// Segment is a prompt segment that other requests may share. A server can reuse it only together with all segments before it.
type Segment struct {
	ID     uint64
	Tokens int64
}

// prefixCache records which prompt segments a server was recently sent.
type prefixCache struct {
	lastUsed map[uint64]time.Duration
}

// record records the prompt segments of a request that was sent.
func (c *prefixCache) record(now time.Duration, segments []Segment) {
	if c.lastUsed == nil {
		c.lastUsed = make(map[uint64]time.Duration)
	}
	if len(c.lastUsed) > maxCachedSegments {
		c.prune(now)
	}
	for _, p := range segments {
		c.lastUsed[p.ID] = now
	}
}

// prune removes expired segments, and at least the older half of all segments.
func (c *prefixCache) prune(now time.Duration) {
	times := make([]time.Duration, 0, len(c.lastUsed))
	for _, at := range c.lastUsed {
		times = append(times, at)
	}
	slices.Sort(times)
	oldest := max(now-cacheTTL, times[len(times)/2])
	for id, at := range c.lastUsed {
		if at < oldest {
			delete(c.lastUsed, id)
		}
	}
}

// cachedTokens returns the number of tokens in the leading segments that the server is assumed to cache.
func (c *prefixCache) cachedTokens(now time.Duration, segments []Segment) int64 {
	var tokens int64
	for _, p := range segments {
		at, ok := c.lastUsed[p.ID]
		if !ok || now-at > cacheTTL {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
