package pool

import (
	"hash/fnv"
	"time"

	"mangolug.org/core/plain"
	"mangolug.org/core/route"
)

// Server is a backend server, as described by its entry at the platform.
type Server struct {
	ID            string
	Service       string
	Address       string // ip:port
	DataCentre    string
	Slots         int // number of requests that it runs concurrently
	Draining      bool
	ColdRemaining time.Duration // how much longer the server was cold when the entry was read
	StartMillis   int64         // start time in Unix milliseconds; 0 if unknown
	Version       string        // version of its software; empty if unknown
}

// Load is the load that a server reports in a response.
type Load struct {
	Running, Waiting, Slots int
	Percent                 int // how long work takes at the moment, in percent of the usual time; 0 if not reported
}

// backend is a server with this router's view of it.
type backend struct {
	Server
	hash          uint64 // hash of the ID
	versionID     uint32 // hash of the software version
	incarnationID uint32 // hash of the incarnation, which names it in messages
	coldUntil     time.Duration
	lapsesAt      time.Duration // when to remove the server, whose entry was lost during an outage; 0 for never
	suspended     bool          // it gets no work, as its entry was lost but those of most others were not
	advertised    *advertised   // what the server advertised; nil if nothing
	heldUntil     time.Duration // until when it gets no work, as its entry may be older than its leaving; 0 for never
	gone          bool          // no longer listed by the platform, or its address belongs to another server

	runs        map[*Run]bool // this router's open requests
	crash       *crash        // the end of this incarnation, if it may have ended under requests; nil for none
	localUsage  Usage         // usage by this router's open requests
	peerUsage   Usage         // usage by the other routers' requests
	peerUsageAt time.Duration
	meanLoad    movingAverage // average number of requests at a plain server
	plainSpeed  plain.Speed   // of a plain server
	load        Load
	loadAt      time.Duration
	speed       serverSpeed

	health   health
	limiter  rateLimiter
	rank     int    // place of this router among those that share the server's rate
	rankedAt uint64 // version of the peers, plus one, for which the rank was computed
	cache    prefixCache
}

// Usage is the load of a set of requests on a server.
type Usage struct {
	Requests int64
	Prefill  int64 // prompt tokens that remain to be prefilled
	Memory   int64 // tokens of KV cache that running requests hold or will hold
}

func (u *Usage) add(v Usage) {
	u.Requests += v.Requests
	u.Prefill += v.Prefill
	u.Memory += v.Memory
}

func (u *Usage) subtract(v Usage) {
	u.Requests = max(0, u.Requests-v.Requests)
	u.Prefill = max(0, u.Prefill-v.Prefill)
	u.Memory = max(0, u.Memory-v.Memory)
}

// usage returns the load on a server by the requests of all routers.
func (b *backend) usage(now time.Duration) Usage {
	u := b.localUsage
	if now-b.peerUsageAt > peerMaxAge {
		return u
	}
	u.add(b.peerUsage)
	return u
}

// sameIncarnation reports whether a platform entry describes the same incarnation of the server.
func (b *backend) sameIncarnation(s *Server) bool {
	return b.Address == s.Address && b.StartMillis == s.StartMillis && b.Service == s.Service
}

// hash64 returns a hash of a name for rendezvous hashing.
func hash64(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // hash.Hash.Write never returns an error
	return route.Mix(h.Sum64())
}
