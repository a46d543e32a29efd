package record

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// MaxBody is the most bytes that a call's body may have.
const MaxBody = 1 << 20

// Answer is the body of every answer: what was asked, and its run.
type Answer struct {
	Number    int    `json:"number"`
	Method    string `json:"method"`
	Path      string `json:"path"`
	Key       string `json:"key,omitempty"`
	RequestID string `json:"requestId"`
	Digest    string `json:"digest"` // SHA-256 of the call's body, in hex
	Text      string `json:"text"`
}

// Handler serves dispatches, landings, cards and seasons, GET /load and the tests' calls under /control/.
func (d *Desk) Handler() http.Handler {
	mux := http.NewServeMux()
	for _, pattern := range []string{
		"POST /dispatches", "POST /dispatches/", "POST /landings", "POST /landings/",
		"GET /cards/", "GET /season/",
	} {
		mux.HandleFunc(pattern, d.serve)
	}
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(d.Load())
	})
	d.control(mux)
	return mux
}

// TextOf gives the text with which the desk answers a call's path and body.
func TextOf(path string, body []byte) string {
	return fmt.Sprintf("done %x", sha256.Sum256(append([]byte(path+" "), body...)))
}

func (d *Desk) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run := Run{
		Method: r.Method, Path: r.URL.Path, Key: r.Header.Get("Idempotency-Key"), Body: string(body),
		RequestID: r.Header.Get("X-Request-Id"), AttemptID: r.Header.Get("X-Attempt-Id"), Team: r.Header.Get("X-Team"),
	}
	w.Header().Set("X-Attempt-Id", run.AttemptID)
	if reason := d.admit(run); reason != "" {
		refuse(w, reason)
		return
	}
	defer d.leave()
	run = d.run(run)
	d.spend()
	d.answer(w, run, body)
}

func (d *Desk) answer(w http.ResponseWriter, run Run, body []byte) {
	switch {
	case d.take(&d.dropNext):
		panic(http.ErrAbortHandler)
	case d.take(&d.failNext):
		http.Error(w, "failed", http.StatusInternalServerError)
		return
	case d.take(&d.crossNext):
		w.Header().Set("X-Attempt-Id", "other-"+run.AttemptID)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(Answer{
		Number: run.Number, Method: run.Method, Path: run.Path, Key: run.Key, RequestID: run.RequestID,
		Digest: fmt.Sprintf("%x", sha256.Sum256(body)), Text: TextOf(run.Path, body),
	})
}

func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("X-Not-Run", "true")
	status := http.StatusServiceUnavailable
	if reason == "full" {
		status = http.StatusTooManyRequests
	}
	http.Error(w, reason, status)
}
