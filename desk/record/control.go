package record

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// control adds the calls that tests use:
//
//	GET  /control/record
//	POST /control/time?millis=N        set the service time
//	POST /control/stall?on=true|false  answer nothing
//	POST /control/fail?count=N         answer the next calls with status 500 after they ran
//	POST /control/drop?count=N         break the connection of the next calls after they ran
//	POST /control/cross?count=N        give the next answers another attempt's id
//	POST /control/leave?on=true|false  refuse new calls, finish the others
func (d *Desk) control(mux *http.ServeMux) {
	mux.HandleFunc("GET /control/record", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.Record())
	})
	post := func(name, number string, act func(on bool, value int)) {
		mux.HandleFunc("POST /control/"+name, func(_ http.ResponseWriter, r *http.Request) {
			query := r.URL.Query()
			value, err := strconv.Atoi(query.Get(number))
			if err != nil {
				value = 1
			}
			d.mutex.Lock()
			defer d.mutex.Unlock()
			act(query.Get("on") != "false", value)
		})
	}
	post("time", "millis", func(_ bool, n int) { d.ServiceTime = time.Duration(n) * time.Millisecond })
	post("stall", "", func(on bool, _ int) { d.stall(on) })
	post("fail", "count", func(_ bool, n int) { d.failNext = n })
	post("drop", "count", func(_ bool, n int) { d.dropNext = n })
	post("cross", "count", func(_ bool, n int) { d.crossNext = n })
	post("leave", "", func(on bool, _ int) {
		d.record.LeftAt = 0
		if on {
			d.record.LeftAt = time.Now().UnixMilli()
		}
	})
}

// stall stops or resumes answers; the caller holds the mutex.
func (d *Desk) stall(on bool) {
	switch {
	case on && d.stalled == nil:
		d.stalled = make(chan struct{})
	case !on && d.stalled != nil:
		close(d.stalled)
		d.stalled = nil
	}
}
