package world

import (
	"slices"
	"time"

	"mangolug.org/core/pool"
)

// Engine is what a model server can do.
type Engine struct {
	Slots       int
	StepFixed   time.Duration // of a step, whatever is in it
	StepSlot    time.Duration // more for each running request
	ReadTokens  float64       // prompt tokens read in a millisecond
	ChunkTokens int64         // of prompts that one step reads at most
	CacheTokens int64         // of memory for running requests and kept parts
	Stride      int64         // tokens in an event
}

// DefaultEngine is like the servers of the users' sheets.
func DefaultEngine() Engine {
	return Engine{
		Slots: 64, StepFixed: 5180 * time.Microsecond, StepSlot: 37 * time.Microsecond, ReadTokens: 49.6,
		ChunkTokens: 4096, CacheTokens: 264000, Stride: 4,
	}
}

// job is a request at a server.
type job struct {
	request *Request
	unread  int64 // prompt tokens still to be read
	read    bool  // its shared parts are looked up
	made    int64 // tokens generated
	memory  int64
	gone    bool // its caller left
}

// server is one model server.
type server struct {
	engine  Engine
	id      string
	queue   []*job // wait for a slot
	running []*job
	kept    map[uint64]time.Duration // parts by their last use
	sizes   map[uint64]int64
	keeps   int64 // tokens of all kept parts
	busy    time.Duration
	down    bool
	seen    map[uint64]bool // parts that any server has read; all servers share it
	Reread  int64           // shared tokens that were read although some server had read them
	ReadAll int64
}

// memory gives the tokens of the running requests.
func (s *server) memory() int64 {
	var n int64
	for _, j := range s.running {
		n += j.memory
	}
	return n
}

// begin takes requests from the queue while there are slots and memory.
func (s *server) begin(now time.Duration) {
	for len(s.queue) > 0 && len(s.running) < s.engine.Slots {
		j := s.queue[0]
		if j.gone {
			s.queue = s.queue[1:]
			continue
		}
		if s.memory()+j.memory > s.engine.CacheTokens && len(s.running) > 0 {
			return
		}
		s.queue = s.queue[1:]
		s.look(now, j)
		s.running = append(s.running, j)
	}
}

// look finds out what of the prompt is kept, and keeps the rest of its shared parts.
func (s *server) look(now time.Duration, j *job) {
	missed := false
	for _, p := range j.request.Segments {
		_, hit := s.kept[p.ID]
		missed = missed || !hit
		if !missed {
			j.unread -= p.Tokens
		} else if s.seen[p.ID] {
			s.Reread += p.Tokens
		}
		s.seen[p.ID] = true
		s.keep(now, p)
	}
	j.unread = max(1, j.unread)
	s.ReadAll += j.unread
}

// keep remembers a part and forgets those that were used longest ago.
func (s *server) keep(now time.Duration, p pool.Segment) {
	if _, ok := s.kept[p.ID]; !ok {
		s.keeps += p.Tokens
		s.sizes[p.ID] = p.Tokens
	}
	s.kept[p.ID] = now
	for room := s.engine.CacheTokens - s.memory(); s.keeps > room && len(s.kept) > 1; {
		oldest, at := uint64(0), now+1
		for id, used := range s.kept {
			if used < at || used == at && id < oldest {
				oldest, at = id, used
			}
		}
		s.keeps -= s.sizes[oldest]
		delete(s.kept, oldest)
		delete(s.sizes, oldest)
	}
}

// step does one step of the batch and gives how long it took; 0 if there was nothing to do. After it, made tells of each
// request that got tokens.
func (s *server) step(now time.Duration, made func(j *job)) time.Duration {
	s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.gone })
	s.begin(now)
	if len(s.running) == 0 {
		return 0
	}
	took := s.engine.StepFixed + time.Duration(len(s.running))*s.engine.StepSlot
	left := s.engine.ChunkTokens
	var gave []*job
	for _, j := range s.running {
		if j.unread > 0 {
			n := min(left, j.unread)
			j.unread -= n
			left -= n
			took += time.Duration(float64(n) / s.engine.ReadTokens * float64(time.Millisecond))
			if j.unread > 0 {
				continue
			}
		}
		j.made++
		gave = append(gave, j)
	}
	for _, j := range gave {
		made(j)
	}
	s.running = slices.DeleteFunc(s.running, func(j *job) bool { return j.made >= j.request.Output })
	return took
}
