package world

import (
	"slices"
	"time"

	"mangolug.org/core/pool"
)

// Engine is the size and speed of a model server.
type Engine struct {
	Slots          int
	StepBase       time.Duration // fixed time of a step
	StepPerRequest time.Duration // added for each running request
	PrefillPerMs   float64       // prompt tokens prefilled per millisecond
	ChunkTokens    int64         // most prompt tokens prefilled in one step
	CacheTokens    int64         // cache size, for running requests and cached parts
	TokensPerEvent int64         // tokens per event
}

// DefaultEngine returns the engine of the users' workload sheets.
func DefaultEngine() Engine {
	return Engine{
		Slots: 64, StepBase: 5180 * time.Microsecond, StepPerRequest: 37 * time.Microsecond, PrefillPerMs: 49.6,
		ChunkTokens: 4096, CacheTokens: 264000, TokensPerEvent: 4,
	}
}

// job is a request at a server.
type job struct {
	request     *Request
	unprefilled int64 // prompt tokens not yet prefilled
	read        bool  // shared parts have been looked up
	generated   int64 // tokens generated so far
	memory      int64
	cancelled   bool // the caller went away or the server failed
}

// server simulates one model server.
type server struct {
	engine           Engine
	id               string
	queue            []*job // waiting for a slot
	running          []*job
	lastUse          map[uint64]time.Duration // last use of each cached part
	partTokens       map[uint64]int64
	cachedTokens     int64 // tokens of all cached parts
	busyUntil        time.Duration
	down             bool
	prefilled        map[uint64]bool // parts that any server has prefilled; shared by all servers
	recomputedTokens int64           // shared tokens prefilled although some server had them before
	prefillTokens    int64
	speed            float64 // relative to the engine's; 0 means 1
	slowdowns        bool
	slowPhase        time.Duration // offset of the first slowdown
}

// runningTokens returns the cache tokens that running requests occupy.
func (s *server) runningTokens() int64 {
	var n int64
	for _, j := range s.running {
		n += j.memory
	}
	return n
}

// fillBatch moves requests from the queue to the batch while slots and memory are free.
func (s *server) fillBatch(now time.Duration) {
	for len(s.queue) > 0 && len(s.running) < s.engine.Slots {
		j := s.queue[0]
		if j.cancelled {
			s.queue = s.queue[1:]
			continue
		}
		if s.runningTokens()+j.memory > s.engine.CacheTokens && len(s.running) > 0 {
			return
		}
		s.queue = s.queue[1:]
		s.matchPrefix(now, j)
		s.running = append(s.running, j)
	}
}

// matchPrefix skips the cached prefix of the prompt and caches all of its parts.
func (s *server) matchPrefix(now time.Duration, j *job) {
	missed := false
	for _, p := range j.request.Segments {
		_, hit := s.lastUse[p.ID]
		missed = missed || !hit
		if !missed {
			j.unprefilled -= p.Tokens
		} else if s.prefilled[p.ID] {
			s.recomputedTokens += p.Tokens
		}
		s.prefilled[p.ID] = true
		s.cachePart(now, p)
	}
	j.unprefilled = max(1, j.unprefilled)
	s.prefillTokens += j.unprefilled
}

// cachePart caches a part and evicts the least recently used ones.
func (s *server) cachePart(now time.Duration, p pool.Segment) {
	if _, ok := s.lastUse[p.ID]; !ok {
		s.cachedTokens += p.Tokens
		s.partTokens[p.ID] = p.Tokens
	}
	s.lastUse[p.ID] = now
	for available := s.engine.CacheTokens - s.runningTokens(); s.cachedTokens > available && len(s.lastUse) > 1; {
		oldest, at := uint64(0), now+1
		for id, used := range s.lastUse {
			if used < at || used == at && id < oldest {
				oldest, at = id, used
			}
		}
		s.cachedTokens -= s.partTokens[oldest]
		delete(s.lastUse, oldest)
		delete(s.partTokens, oldest)
	}
}

// step runs one step of the batch and returns its duration, or 0 if there was nothing to do. It then calls emitted for
// each request that generated a token.
func (s *server) step(now time.Duration, emitted func(j *job)) time.Duration {
	s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.cancelled })
	s.fillBatch(now)
	if len(s.running) == 0 {
		return 0
	}
	elapsed := s.engine.StepBase + time.Duration(len(s.running))*s.engine.StepPerRequest
	budget := s.engine.ChunkTokens
	var generating []*job
	for _, j := range s.running {
		if j.unprefilled > 0 {
			n := min(budget, j.unprefilled)
			j.unprefilled -= n
			budget -= n
			elapsed += time.Duration(float64(n) / s.engine.PrefillPerMs * float64(time.Millisecond))
			if j.unprefilled > 0 {
				continue
			}
		}
		j.generated++
		generating = append(generating, j)
	}
	for _, j := range generating {
		emitted(j)
	}
	s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.generated >= j.request.Output })
	return elapsed
}
