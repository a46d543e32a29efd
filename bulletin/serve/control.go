package serve

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// control adds the calls that tests use:
//
//	PUT  /control/rules[?version=N]       publish the body; answers with the version
//	POST /control/serve?version=N         serve an older version; 0 for the newest
//	POST /control/stale?on=true|false     keep serving what is served now
//	POST /control/down?on=...[&reader=IP] break every call for rules, or one reader's
//	POST /control/down-list?on=...        break every call for the list of VMs
//	PUT  /control/vms[?lag=MILLIS]        replace the list of VMs
//	GET  /control/counts
func (p *Platform) control(mux *http.ServeMux) {
	mux.HandleFunc("PUT /control/rules", p.putRules)
	mux.HandleFunc("PUT /control/vms", p.putVMs)
	mux.HandleFunc("POST /control/serve", func(w http.ResponseWriter, r *http.Request) {
		version, err := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Pin(version)
	})
	mux.HandleFunc("POST /control/stale", func(_ http.ResponseWriter, r *http.Request) {
		if isOn(r) {
			p.Freeze()
			return
		}
		p.Pin(0)
	})
	mux.HandleFunc("POST /control/down", func(_ http.ResponseWriter, r *http.Request) {
		p.SetDown(r.URL.Query().Get("reader"), isOn(r))
	})
	mux.HandleFunc("POST /control/down-list", func(_ http.ResponseWriter, r *http.Request) { p.SetListDown(isOn(r)) })
	mux.HandleFunc("GET /control/counts", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(p.Counts())
	})
}

func (p *Platform) putRules(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValue))
	if err != nil {
		http.Error(w, err.Error(), http.StatusRequestEntityTooLarge)
		return
	}
	version, _ := strconv.ParseUint(r.URL.Query().Get("version"), 10, 64)
	version = p.Publish(text, version)
	w.Header().Set(VersionHeader, strconv.FormatUint(version, 10))
	_, _ = fmt.Fprintln(w, version)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var list VMList
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	lag := p.VMLag
	if text := r.URL.Query().Get("lag"); text != "" {
		millis, err := strconv.Atoi(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		lag = time.Duration(millis) * time.Millisecond
	}
	p.SetVMs(list, lag)
}

func isOn(r *http.Request) bool { return r.URL.Query().Get("on") != "false" }
