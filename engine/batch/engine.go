package batch

import (
	"context"
	"sync"
	"time"
)

// Settings are an engine's size and speed.
type Settings struct {
	Limit       int           // requests served at once
	Queue       int           // requests admitted beyond Limit; more are refused as not run
	TokenTime   time.Duration // between two tokens of a request that runs alone
	Growth      float64       // part of TokenTime that each further request in the batch adds
	PrefillTime time.Duration // for each prompt token that is not in the cache
	CacheBlocks int           // prompt prefix blocks of 64 bytes kept
	LoadLag     time.Duration // age of what GET /load reports
	Fencing     bool          // refuse an old Fencing-Term
	Cold        bool          // start cold
	ColdLimit   int           // requests that a cold engine can serve at first; it breaks above twice its capacity
	WarmAfter   int           // completed requests that add one to a cold engine's capacity
	RestartTime time.Duration // that a restart takes
}

// Run is one request that the engine admitted.
type Run struct {
	RequestID    string `json:"requestId"`
	AttemptID    string `json:"attemptId"`
	Team         string `json:"team"`
	State        string `json:"state"` // waiting, running, completed, cancelled or failed
	Began        bool   `json:"began"`
	ArrivedAt    int64  `json:"arrivedAt"` // Unix milliseconds
	EndedAt      int64  `json:"endedAt"`
	PromptTokens int    `json:"promptTokens"`
	CachedTokens int    `json:"cachedTokens"`
	Tokens       int    `json:"tokens"`
}

// Refusal is one request that the engine refused as not run.
type Refusal struct {
	RequestID string `json:"requestId"`
	AttemptID string `json:"attemptId"`
	Reason    string `json:"reason"`
	ArrivedAt int64  `json:"arrivedAt"` // Unix milliseconds
}

// Record is all that an engine did.
type Record struct {
	Server      string    `json:"server"`
	Epoch       uint64    `json:"epoch"`
	PeakOpen    int       `json:"peakOpen"`    // most requests admitted at once
	PeakRunning int       `json:"peakRunning"` // most requests served at once
	Falls       int       `json:"falls"`       // times that it broke under load when cold
	LeftAt      int64     `json:"leftAt"`      // Unix milliseconds; 0 while it has not left
	Runs        []Run     `json:"runs"`
	Refusals    []Refusal `json:"refusals"`
}

// Load is the body of GET /load.
type Load struct {
	Server    string `json:"server"`
	Epoch     uint64 `json:"epoch"`
	Running   int    `json:"running"`
	Waiting   int    `json:"waiting"`
	Limit     int    `json:"limit"`
	AgeMillis int64  `json:"ageMillis"`
}

type sample struct {
	at   time.Time
	load Load
}

// Engine is one model engine; set Name and Settings before its first request.
type Engine struct {
	Name string
	Settings

	mutex     sync.Mutex
	started   bool
	epoch     uint64
	life      context.Context // ends when the engine restarts
	endLife   context.CancelFunc
	upAt      time.Time
	cold      bool
	completed int // since it turned cold
	running   int
	queue     []chan struct{} // closed when its request is served
	term      uint64          // highest Fencing-Term seen
	prefixes  cache
	samples   []sample
	record    Record
	runs      []*Run
	stalled   chan struct{} // closed when the stall ends; nil for none
	failNext  int
	crossNext int
	lastID    string        // attempt answered last
	linger    time.Duration // that a request runs on after its caller went away
}

// start sets the first life up; the caller holds the mutex.
func (e *Engine) start() {
	if e.started {
		return
	}
	e.started = true
	e.prefixes.size = e.CacheBlocks
	e.epoch = uint64(time.Now().UnixMilli())
	e.cold = e.Cold
	e.life, e.endLife = context.WithCancel(context.Background())
	e.sample()
}

// capacity gives how many requests the engine can serve now without breaking; the caller holds the mutex.
func (e *Engine) capacity() int {
	if !e.cold {
		return e.Limit
	}
	capacity := e.ColdLimit + e.completed/max(e.WarmAfter, 1)
	if capacity >= e.Limit {
		e.cold = false
		return e.Limit
	}
	return capacity
}

func (e *Engine) open() int { return e.running + len(e.queue) }

// turnCold makes the engine cold without a restart; the caller holds the mutex.
func (e *Engine) turnCold() {
	e.cold, e.completed = true, 0
	e.prefixes.clear()
	e.epoch++
	e.sample()
}

// restart breaks all requests; the caller holds the mutex.
func (e *Engine) restart() {
	e.endLife()
	e.life, e.endLife = context.WithCancel(context.Background())
	e.upAt = time.Now().Add(e.RestartTime)
	e.turnCold()
}

// sample notes the load for later reports; the caller holds the mutex.
func (e *Engine) sample() {
	now := time.Now()
	e.record.PeakOpen = max(e.record.PeakOpen, e.open())
	e.record.PeakRunning = max(e.record.PeakRunning, e.running)
	load := Load{Server: e.Name, Epoch: e.epoch, Running: e.running, Waiting: len(e.queue), AgeMillis: e.LoadLag.Milliseconds()}
	e.samples = append(e.samples, sample{at: now, load: load})
	first := 0
	for first+1 < len(e.samples) && !e.samples[first+1].at.After(now.Add(-e.LoadLag)) {
		first++
	}
	e.samples = e.samples[first:]
}

// Load gives the load as it was LoadLag ago.
func (e *Engine) Load() Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start()
	e.sample()
	return e.samples[0].load
}

// Record gives all that the engine did so far.
func (e *Engine) Record() Record {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start()
	record := e.record
	record.Server, record.Epoch = e.Name, e.epoch
	record.Refusals = append([]Refusal{}, e.record.Refusals...)
	record.Runs = make([]Run, 0, len(e.runs))
	for _, r := range e.runs {
		record.Runs = append(record.Runs, *r)
	}
	return record
}
