package batch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// registerControl registers the endpoints that tests use:
//
//	GET  /control/record
//	POST /control/cold                 turn cold without a restart
//	POST /control/restart              fail all requests and restart cold
//	POST /control/stall?on=true|false  make no progress
//	POST /control/fail?count=N         fail the next N requests after they start
//	POST /control/cross?count=N        send the next N responses with another attempt's ID
//	POST /control/linger?count=N       cancel requests N ms after their callers disconnect
//	POST /control/leave?on=true|false  drain: reject new requests, finish the others
func (e *Engine) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/record", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.Record())
	})
	post := func(name string, act func(on bool, count int)) {
		mux.HandleFunc("POST /control/"+name, func(_ http.ResponseWriter, r *http.Request) {
			query := r.URL.Query()
			count, err := strconv.Atoi(query.Get("count"))
			if err != nil {
				count = 1
			}
			e.mutex.Lock()
			defer e.mutex.Unlock()
			e.start()
			act(query.Get("on") != "false", count)
		})
	}
	post("cold", func(bool, int) { e.turnCold() })
	post("restart", func(bool, int) { e.restart() })
	post("stall", func(on bool, _ int) { e.setStalled(on) })
	post("fail", func(_ bool, count int) { e.failNext = count })
	post("cross", func(_ bool, count int) { e.wrongIDNext = count })
	post("linger", func(_ bool, count int) { e.cancelDelay = time.Duration(count) * time.Millisecond })
	post("leave", func(on bool, _ int) { e.setDraining(on) })
}

// setStalled stops or resumes progress; the caller holds the mutex.
func (e *Engine) setStalled(on bool) {
	switch {
	case on && e.stalled == nil:
		e.stalled = make(chan struct{})
	case !on && e.stalled != nil:
		close(e.stalled)
		e.stalled = nil
	}
}

// setDraining records when the engine started to drain, or clears that; the caller holds the mutex.
func (e *Engine) setDraining(on bool) {
	e.record.LeftAt = 0
	if on {
		e.record.LeftAt = time.Now().UnixMilli()
	}
}

func (e *Engine) takeFailure() bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.failNext == 0 {
		return false
	}
	e.failNext--
	return true
}

// responseAttemptID returns the attempt ID for a response: that of the attempt, or another one's after /control/cross.
func (e *Engine) responseAttemptID(attempt string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	other := e.lastID
	e.lastID = attempt
	if e.wrongIDNext == 0 {
		return attempt
	}
	e.wrongIDNext--
	return "other-" + other
}
