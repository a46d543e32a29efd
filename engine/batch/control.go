package batch

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// control adds the calls that tests use:
//
//	GET  /control/record
//	POST /control/cold                 turn cold without a restart
//	POST /control/restart              break all requests and start again cold
//	POST /control/stall?on=true|false  make no progress
//	POST /control/fail?count=N         fail the next requests after they began
//	POST /control/cross?count=N        give the next answers another attempt's id
//	POST /control/linger?count=N       run requests on for N ms after their callers went away
//	POST /control/leave?on=true|false  refuse new requests, finish the others
func (e *Engine) control(mux *http.ServeMux) {
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
	post("stall", func(on bool, _ int) { e.stall(on) })
	post("fail", func(_ bool, count int) { e.failNext = count })
	post("cross", func(_ bool, count int) { e.crossNext = count })
	post("linger", func(_ bool, count int) { e.linger = time.Duration(count) * time.Millisecond })
	post("leave", func(on bool, _ int) { e.leave(on) })
}

// stall stops or resumes progress; the caller holds the mutex.
func (e *Engine) stall(on bool) {
	switch {
	case on && e.stalled == nil:
		e.stalled = make(chan struct{})
	case !on && e.stalled != nil:
		close(e.stalled)
		e.stalled = nil
	}
}

// leave notes when the engine left, or takes it back; the caller holds the mutex.
func (e *Engine) leave(on bool) {
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

// echo gives the attempt id for an answer: the attempt's own, or another's when told to cross.
func (e *Engine) echo(attempt string) string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	other := e.lastID
	e.lastID = attempt
	if e.crossNext == 0 {
		return attempt
	}
	e.crossNext--
	return "other-" + other
}
