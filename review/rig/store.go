package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store, or the event of its removal.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

type page struct {
	Items         []item `json:",omitempty"`
	Events        []item `json:"events,omitempty"`
	HasMore       bool
	StoreRevision int64
}

// historyKept is how long the store keeps its history, as HistoryS of the settings says.
const historyKept = 20 * time.Second

// store stands in for the platform's store. While it is down it resets all calls and takes no writes.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	history  []item      // of the last historyKept
	times    []time.Time // of the changes in history
	dropped  int64       // revision up to which the history is gone
	revision int64
	changed  chan struct{}
	down     bool
	server   *http.Server
}

func newStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, revision: 1, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }() // returns at Close
	return s, nil
}

func (s *store) setDown(down bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.down = down
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes an item, or removes it if the value is nil, and reports whether the store was up.
func (s *store) set(key string, value []byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return false
	}
	before, exists := s.items[key]
	if value == nil && !exists {
		return true
	}
	s.revision++
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Deleted: value == nil}
	if exists {
		i.Created = before.Created
	}
	s.items[key] = i
	if i.Deleted {
		delete(s.items, key)
	}
	s.history, s.times = append(s.history, i), append(s.times, time.Now())
	s.wake()
	return true
}

// has reports whether there is an item with a key.
func (s *store) has(key string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, ok := s.items[key]
	return ok
}

// trim drops the history that is no longer kept; the caller holds the mutex.
func (s *store) trim() {
	for len(s.times) > 0 && time.Since(s.times[0]) > historyKept {
		s.dropped = s.history[0].Revision
		s.history, s.times = s.history[1:], s.times[1:]
	}
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	prefix := query.Get("PathPrefix")
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	var p page
	for waiting := true; ; {
		s.mutex.Lock()
		s.trim()
		down, gone, changed := s.down, false, s.changed
		p = page{StoreRevision: s.revision}
		switch r.URL.Path {
		case "/-/kv-range":
			waiting = false
			for _, key := range slices.Sorted(maps.Keys(s.items)) {
				if strings.HasPrefix(key, prefix) && key > query.Get("After") {
					p.Items = append(p.Items, s.items[key])
				}
			}
		case "/-/kv-watch":
			after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
			gone = after < s.dropped || after > s.revision
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
					p.Events = append(p.Events, i)
				}
			}
		}
		s.mutex.Unlock()
		w.Header().Set("Store-Era", "1")
		if down {
			if c, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = c.(*net.TCPConn).SetLinger(0) // so that the close resets it
				_ = c.Close()
			}
			return
		}
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if !waiting || len(p.Events) > 0 {
			break
		}
		select {
		case <-changed:
		case <-timer.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(p) // an error means that the reader has left
}
