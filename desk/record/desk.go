package record

import (
	"sync"
	"time"
)

// Run is one call that the desk ran.
type Run struct {
	Number    int    `json:"number"` // of the run, from 1
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key"` // Idempotency-Key
	RequestID string `json:"requestId"`
	AttemptID string `json:"attemptId"`
	Team      string `json:"team"`
	Body      string `json:"body"`
	StartedAt int64  `json:"startedAt"` // Unix milliseconds
}

// Refusal is one call that the desk refused as not run.
type Refusal struct {
	RequestID string `json:"requestId"`
	AttemptID string `json:"attemptId"`
	Reason    string `json:"reason"`
	ArrivedAt int64  `json:"arrivedAt"` // Unix milliseconds
}

// Record is all that a desk did.
type Record struct {
	Server   string    `json:"server"`
	Epoch    uint64    `json:"epoch"`
	PeakOpen int       `json:"peakOpen"` // most calls admitted at once
	LeftAt   int64     `json:"leftAt"`   // Unix milliseconds; 0 while it has not left
	Runs     []Run     `json:"runs"`
	Refusals []Refusal `json:"refusals"`
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

// Desk is one plain service; set Name, Limit and ServiceTime before its first call.
type Desk struct {
	Name        string
	Limit       int           // calls admitted at once; more are refused as not run
	ServiceTime time.Duration // of each call

	mutex     sync.Mutex
	epoch     uint64
	open      int
	record    Record
	stalled   chan struct{} // closed when the stall ends; nil for none
	failNext  int
	crossNext int
	dropNext  int
}

// start sets the epoch at first use; the caller holds the mutex.
func (d *Desk) start() {
	if d.epoch == 0 {
		d.epoch = uint64(time.Now().UnixMilli())
	}
}

// Load gives the calls in service now.
func (d *Desk) Load() Load {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.start()
	return Load{Server: d.Name, Epoch: d.epoch, Running: d.open}
}

// Record gives all that the desk did so far.
func (d *Desk) Record() Record {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.start()
	record := d.record
	record.Server, record.Epoch = d.Name, d.epoch
	record.Runs = append([]Run{}, d.record.Runs...)
	record.Refusals = append([]Refusal{}, d.record.Refusals...)
	return record
}

// admit takes a call in, or says why not.
func (d *Desk) admit(run Run) string {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.start()
	reason := ""
	switch {
	case d.record.LeftAt != 0:
		reason = "left"
	case d.open >= d.Limit:
		reason = "full"
	}
	if reason != "" {
		d.record.Refusals = append(d.record.Refusals, Refusal{RequestID: run.RequestID, AttemptID: run.AttemptID, Reason: reason, ArrivedAt: time.Now().UnixMilli()})
		return reason
	}
	d.open++
	d.record.PeakOpen = max(d.record.PeakOpen, d.open)
	return ""
}

func (d *Desk) leave() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.open--
}

// run records a call and gives it with its number.
func (d *Desk) run(run Run) Run {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	run.Number = len(d.record.Runs) + 1
	run.StartedAt = time.Now().UnixMilli()
	d.record.Runs = append(d.record.Runs, run)
	return run
}

// take counts one down and says whether there was one.
func (d *Desk) take(counter *int) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if *counter == 0 {
		return false
	}
	*counter--
	return true
}

// spend waits for the service time, and for as long as the desk is stalled;
// a call that began runs to its end whether its caller stays or not.
func (d *Desk) spend() {
	d.mutex.Lock()
	serviceTime := d.ServiceTime
	d.mutex.Unlock()
	<-time.After(serviceTime)
	d.mutex.Lock()
	stalled := d.stalled
	d.mutex.Unlock()
	if stalled != nil {
		<-stalled
	}
}
