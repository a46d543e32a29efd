package batch

import (
	"context"
	"sync"
	"time"
)

// Settings configures the size and speed of an engine.
type Settings struct {
	Limit       int           // requests served concurrently
	Queue       int           // requests admitted beyond Limit; more are rejected as not run
	TokenTime   time.Duration // time per token of a request that runs alone
	Growth      float64       // fraction of TokenTime that each further request in the batch adds
	PrefillTime time.Duration // time per prompt token that is not cached
	CacheBlocks int           // cache size in prompt prefix blocks of 64 bytes
	LoadLag     time.Duration // age of the load that GET /load reports
	Fencing     bool          // reject an old Fencing-Term
	Cold        bool          // start cold
	ColdLimit   int           // initial capacity of a cold engine; it crashes when more than twice its capacity are open
	WarmAfter   int           // number of completed requests that adds one to the capacity of a cold engine
	RestartTime time.Duration // duration of a restart
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

// Refusal is one request that the engine rejected as not run.
type Refusal struct {
	RequestID string `json:"requestId"`
	AttemptID string `json:"attemptId"`
	Reason    string `json:"reason"`
	ArrivedAt int64  `json:"arrivedAt"` // Unix milliseconds
}

// Record is the history of an engine.
type Record struct {
	Server      string    `json:"server"`
	Epoch       uint64    `json:"epoch"`
	PeakOpen    int       `json:"peakOpen"`    // most requests open concurrently
	PeakRunning int       `json:"peakRunning"` // most requests served concurrently
	Crashes     int       `json:"falls"`       // number of crashes under load while cold
	LeftAt      int64     `json:"leftAt"`      // when the engine started to drain, Unix milliseconds; 0 if it is not draining
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

// Engine is a simulated model engine; set Name and Settings before its first request.
type Engine struct {
	Name string
	Settings

	mutex       sync.Mutex
	started     bool
	epoch       uint64
	lifetime    context.Context // cancelled when the engine restarts
	cancelAll   context.CancelFunc
	readyAt     time.Time
	cold        bool
	completed   int // requests completed since the engine turned cold
	running     int
	queue       []chan struct{} // closed when the request gets a slot
	term        uint64          // highest Fencing-Term seen
	prefixes    cache
	samples     []sample
	record      Record
	runs        []*Run
	stalled     chan struct{} // closed when the stall ends; nil if not stalled
	failNext    int
	wrongIDNext int
	lastID      string        // ID of the attempt answered last
	cancelDelay time.Duration // time that a request keeps running after its caller disconnects
}

// start initialises the engine on first use; the caller holds the mutex.
func (e *Engine) start() {
	if e.started {
		return
	}
	e.started = true
	e.prefixes.size = e.CacheBlocks
	e.epoch = uint64(time.Now().UnixMilli())
	e.cold = e.Cold
	e.lifetime, e.cancelAll = context.WithCancel(context.Background())
	e.recordLoad()
}

// capacity returns the number of requests that the engine can serve now; the caller holds the mutex.
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
	e.recordLoad()
}

// restart fails all requests and restarts the engine cold; the caller holds the mutex.
func (e *Engine) restart() {
	e.cancelAll()
	e.lifetime, e.cancelAll = context.WithCancel(context.Background())
	e.readyAt = time.Now().Add(e.RestartTime)
	e.turnCold()
}

// recordLoad records the load for later reports; the caller holds the mutex.
func (e *Engine) recordLoad() {
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

// Load returns the load as of LoadLag ago.
func (e *Engine) Load() Load {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.start()
	e.recordLoad()
	return e.samples[0].load
}

// Record returns a copy of the engine's history.
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
