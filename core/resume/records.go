package resume

import (
	"hash/fnv"
	"slices"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/route"
)

// maxRecords bounds the streams that a router remembers: those of two minutes, at 100 a second.
const maxRecords = 12000

// records are streams with the software versions at which they began. The zero value is ready to use.
type records struct {
	byAttempt map[uint64]record
}

type record struct {
	version uint32
	until   time.Duration // when it is forgotten
	told    bool          // by another router
}

// callerMask is the part of an attempt's hash that depends on its caller as well; the rest depends on the id alone.
const callerMask = 1<<32 - 1

// AttemptID returns the hash that stands for a caller's attempt. Another team's attempt with the same id has another one.
func AttemptID(team, id string) uint64 {
	return ReportedID(id) | uint64(max(1, hash32(team+"\x00"+id)))
}

// ReportedID returns the hash that stands for an attempt whose caller is not known, as it was reported by a server.
func ReportedID(id string) uint64 { return uint64(hash32(id)) << 32 }

func hash32(text string) uint32 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text)) // hash.Hash.Write never returns an error
	return uint32(route.Mix(h.Sum64()))
}

func (r *records) add(now time.Duration, s digest.StreamVersion, keep time.Duration, told bool) {
	if r.byAttempt == nil {
		r.byAttempt = make(map[uint64]record)
	}
	if len(r.byAttempt) >= maxRecords {
		r.prune(now)
	}
	r.byAttempt[s.Attempt] = record{s.Version, now + keep, told}
}

// prune removes the expired records, and at least half of all.
func (r *records) prune(now time.Duration) {
	ends := make([]time.Duration, 0, len(r.byAttempt))
	for _, s := range r.byAttempt {
		ends = append(ends, s.until)
	}
	slices.Sort(ends)
	limit := max(now, ends[len(ends)/2])
	for attempt, s := range r.byAttempt {
		if s.until <= limit {
			delete(r.byAttempt, attempt)
		}
	}
}

// version returns the version of an attempt's stream. A record of the caller goes before one that a server reported.
func (r *records) version(now time.Duration, attempt uint64) (uint32, bool) {
	s, ok := r.byAttempt[attempt]
	if !ok {
		s, ok = r.byAttempt[attempt&^callerMask]
	}
	return s.version, ok && now < s.until
}

// all returns the records that have not expired, without those that other routers told if own is set.
func (r *records) all(now time.Duration, own bool) []digest.StreamVersion {
	var list []digest.StreamVersion
	for attempt, s := range r.byAttempt {
		if now < s.until && !(own && s.told) {
			list = append(list, digest.StreamVersion{Attempt: attempt, Version: s.version})
		}
	}
	return list
}

// holders returns the routers that are told of a stream, or asked for it, by rendezvous hashing of the attempt's id: the first n of those given.
func holders(attempt uint64, routers []string, n int) []string {
	type ranked struct {
		name string
		hash uint64
	}
	list := make([]ranked, 0, len(routers))
	for _, name := range routers {
		list = append(list, ranked{name, route.Mix(attempt>>32 ^ AttemptID("", name))})
	}
	slices.SortFunc(list, func(a, b ranked) int {
		switch {
		case a.hash > b.hash:
			return -1
		case a.hash < b.hash:
			return 1
		}
		return 0
	})
	names := make([]string, 0, n)
	for _, r := range list[:min(n, len(list))] {
		names = append(names, r.name)
	}
	return names
}
