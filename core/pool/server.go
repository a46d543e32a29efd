package pool

import (
	"hash/fnv"
	"time"

	"mangolug.org/core/route"
)

// Server is a backend server as the platform tells of it.
type Server struct {
	ID         string
	Service    string
	Address    string // ip:port
	DataCentre string
	Slots      int // requests that it runs at once
	Draining   bool
	ColdFor    time.Duration // how much longer it was cold when it was told
	Born       int64         // Unix milliseconds of its start; 0 if not told
}

// Load is what a server says of itself in an answer.
type Load struct {
	Running, Waiting, Slots int
}

// backend is a server with what this router knows of it.
type backend struct {
	Server
	hash      uint64 // of the id
	coldUntil time.Duration
	lapses    time.Duration // when it is forgotten, as its entry went during an outage; 0 for never
	said      *said         // what it told of itself; nil if nothing
	gone      bool          // no longer told by the platform, or another server has its address

	own      Usage // this router's requests that are open there
	others   Usage // the other routers' requests
	othersAt time.Duration
	busy     mean // requests at a plain server
	load     Load
	loadAt   time.Duration

	health health
	meter  meter
	cache  cache
}

// Usage is the work at a server that requests stand for.
type Usage struct {
	Requests int64
	Prefill  int64 // prompt tokens still to be read
	Memory   int64 // tokens of KV cache that its running requests hold or will hold
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

// usage gives the work at a server over all routers.
func (b *backend) usage(now time.Duration) Usage {
	u := b.own
	if now-b.othersAt > othersAge {
		return u
	}
	u.add(b.others)
	return u
}

// same reports whether the platform tells of the same start of the same server.
func (b *backend) same(s *Server) bool {
	return b.Address == s.Address && b.Born == s.Born && b.Service == s.Service
}

// hash64 hashes a name for rendezvous.
func hash64(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // a hash never fails
	return route.Mix(h.Sum64())
}
