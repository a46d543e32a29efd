package tally

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

//go:generate stringer -type=Outcome -linecomment -output=outcome_string.go

// Outcome is how one request ended for its caller.
type Outcome int

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = iota // answered
	OutcomeRefused                 // refused
	OutcomeUnknown                 // unknown
	OutcomeFailed                  // failed
	OutcomeTimedOut                // timedOut
	OutcomeNotWhole                // notWhole
	OutcomeCut                     // cut
)

// End is the end of one request.
type End struct {
	Cost    int64 // cost units of an answered request
	Outcome Outcome
	Reason  string        // of a refusal or failure
	Total   time.Duration // from its planned arrival
}

// Range and precision of the histograms, in microseconds.
const (
	lowest  = 1
	highest = 600_000_000
	digits  = 3
)

// Load counts one load; its zero value works, and its methods may be called from several goroutines.
type Load struct {
	Team    string
	Product string
	Share   int

	mutex      sync.Mutex
	requests   int64
	open       int
	waiting    int // open, and no byte has come yet
	minWaiting int // since the last sample
	running    int // open, and a byte has come
	mostRun    int // most that ran at once
	mostCost   int64
	service    int64
	ends       [OutcomeCut + 1]int64
	reasons    map[string]int64
	total      *hdrhistogram.Histogram
	firstByte  *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
}

// Begin counts a request that is sent.
func (l *Load) Begin() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.requests++
	l.open++
	l.waiting++
}

// FirstByte counts the first byte of an answer.
func (l *Load) FirstByte(after time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.stopWaiting()
	l.running++
	l.mostRun = max(l.mostRun, l.running)
	record(&l.firstByte, after)
}

// Between counts the time between two pieces of a stream.
func (l *Load) Between(gap time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	record(&l.between, gap)
}

// Serve counts service, in cost units.
func (l *Load) Serve(cost int64) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.service += cost
}

// End counts the end of a request; begun says that FirstByte was called for it.
func (l *Load) End(e End, begun bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.open--
	if begun {
		l.running--
	} else {
		l.stopWaiting()
	}
	l.mostCost = max(l.mostCost, e.Cost)
	l.ends[e.Outcome]++
	if e.Outcome == OutcomeAnswered {
		record(&l.total, e.Total)
	}
	if e.Reason != "" {
		if l.reasons == nil {
			l.reasons = make(map[string]int64)
		}
		l.reasons[e.Outcome.String()+"."+e.Reason]++
	}
}

// Open gives the requests that have not ended.
func (l *Load) Open() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.open
}

// Sample gives the service so far, and the least number that waited since the last sample.
func (l *Load) Sample() (service int64, waiting int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	least := min(l.minWaiting, l.waiting)
	l.minWaiting = l.waiting
	return l.service, least
}

// InFlight gives the most service that its requests had in flight at once, in cost units over share.
func (l *Load) InFlight() float64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return float64(l.mostRun) * float64(l.mostCost) / float64(l.Share)
}

func (l *Load) stopWaiting() {
	l.waiting--
	l.minWaiting = min(l.minWaiting, l.waiting)
}

func record(h **hdrhistogram.Histogram, d time.Duration) {
	if *h == nil {
		*h = hdrhistogram.New(lowest, highest, digits)
	}
	_ = (*h).RecordValue(min(max(d.Microseconds(), lowest), highest))
}
