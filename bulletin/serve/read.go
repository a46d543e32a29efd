package serve

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"
)

// VersionHeader carries the version of a rule file.
const VersionHeader = "Config-Version"

// Handler serves the platform's calls under /v1/ and the tests' under /control/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/config/rules", p.readRules)
	mux.HandleFunc("GET /v1/vms", p.readVMs)
	p.control(mux)
	return mux
}

func (p *Platform) readRules(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	wait, _ := strconv.Atoi(query.Get("wait"))
	after, err := strconv.ParseUint(query.Get("after"), 10, 64)
	if query.Get("after") != "" && err != nil {
		http.Error(w, "after is not a version number", http.StatusBadRequest)
		return
	}
	reader := readerOf(r)
	count := func(r *Reader) {
		if wait > 0 {
			r.Watches++
		} else {
			r.Reads++
		}
	}
	if !p.enter(w, reader, count) {
		return
	}
	deadline := time.NewTimer(min(time.Duration(wait)*time.Millisecond, MaxWait))
	defer deadline.Stop()
	for {
		text, version, changed := p.look(reader)
		if version > after {
			w.Header().Set(VersionHeader, strconv.FormatUint(version, 10))
			w.Header().Set("Content-Type", "text/plain; charset=utf-8")
			_, _ = w.Write(text)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			w.WriteHeader(http.StatusNotModified)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// look breaks the connection while the service is down; else it gives what is served now and a channel that closes at the next change.
func (p *Platform) look(reader string) ([]byte, uint64, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.isDown(reader) {
		panic(http.ErrAbortHandler)
	}
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	version := p.served()
	return p.texts[version], version, p.changed
}

func (p *Platform) readVMs(w http.ResponseWriter, r *http.Request) {
	if !p.enter(w, readerOf(r), func(r *Reader) { r.VMs++ }) {
		return
	}
	p.mutex.Lock()
	list, down := p.vms, p.listDown
	p.mutex.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	writeList(w, list)
}

// enter counts a call and refuses one over the limit.
func (p *Platform) enter(w http.ResponseWriter, reader string, count func(*Reader)) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	entry := p.reader(reader)
	if !p.admit(time.Now()) {
		entry.Refused++
		w.Header().Set("Retry-After", "1")
		http.Error(w, "too many reads", http.StatusTooManyRequests)
		return false
	}
	count(entry)
	return true
}

func readerOf(r *http.Request) string {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

func writeList(w http.ResponseWriter, list VMList) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
