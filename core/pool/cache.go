package pool

import (
	"slices"
	"time"
)

// cacheMemory is how long a server is believed to keep a part of a prompt after its last use here; servers evict what
// was used least recently, and at full load they turn their memory over in about this time.
const cacheMemory = 10 * time.Second

// cacheParts bounds how many parts are remembered for one server.
const cacheParts = 4096

// Part is a piece of a prompt that other requests may share; a server keeps it only together with all parts before it.
type Part struct {
	ID     uint64
	Tokens int64
}

// cache remembers which parts of prompts a server was sent lately.
type cache struct {
	used map[uint64]time.Duration
}

// note remembers the parts of a request that was sent.
func (c *cache) note(now time.Duration, parts []Part) {
	if c.used == nil {
		c.used = make(map[uint64]time.Duration)
	}
	if len(c.used) > cacheParts {
		c.prune(now)
	}
	for _, p := range parts {
		c.used[p.ID] = now
	}
}

// prune forgets what is no longer believed to be kept, or half of the rest if that is not enough.
func (c *cache) prune(now time.Duration) {
	times := make([]time.Duration, 0, len(c.used))
	for _, at := range c.used {
		times = append(times, at)
	}
	slices.Sort(times)
	oldest := max(now-cacheMemory, times[len(times)/2])
	for id, at := range c.used {
		if at < oldest {
			delete(c.used, id)
		}
	}
}

// kept gives the tokens of the leading parts that are believed to be kept.
func (c *cache) kept(now time.Duration, parts []Part) int64 {
	var tokens int64
	for _, p := range parts {
		at, ok := c.used[p.ID]
		if !ok || now-at > cacheMemory {
			break
		}
		tokens += p.Tokens
	}
	return tokens
}
