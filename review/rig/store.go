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

// store stands in for the platform's store. While it is down it answers 503, which means that nothing was done, and takes no writes.
type store struct {
	mutex    sync.Mutex
	items    map[string]item
	history  []item
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
	s.history = append(s.history, i)
	s.wake()
	return true
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
		down, changed := s.down, s.changed
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
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
					p.Events = append(p.Events, i)
				}
			}
		}
		s.mutex.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
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
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(p) // an error means that the reader has left
}
