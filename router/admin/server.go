package admin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/pprof"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
)

// Server is the admin server. Its function fields provide the data.
type Server struct {
	NotReadyReason func() fleet.Reason // returns ReasonNone if the router serves callers
	Status         func(ctx context.Context) (*report.Status, error)
	Team           func(ctx context.Context, team string) (*report.TeamExplanation, error)
	History        *RequestHistory
	Registry       metrics.Registry
	Trace          func(w io.Writer) (bool, error) // writes the compressed trace; returns false if none is recorded
}

// NotFoundError reports an item, such as a request, that this router does not know.
type NotFoundError struct {
	What, Name string
}

// Error returns a message with the unknown item and what to try next.
func (e *NotFoundError) Error() string {
	return e.What + " " + e.Name + " is not known at this router; ask the router that took the request"
}

// Handler returns the handler for the admin address.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", s.readyz)
	mux.HandleFunc("GET /metrics", s.metrics)
	mux.HandleFunc("GET /trace", s.trace)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.Handle("GET /status", serve(s.status))
	mux.Handle("GET /explain/request/{name}", serve(s.explainRequest))
	mux.Handle("GET /explain/team/{name}", serve(s.explainTeam))
	return mux
}

func serve(e endpoint.Endpoint) http.Handler {
	decode := func(_ context.Context, r *http.Request) (interface{}, error) { return r.PathValue("name"), nil }
	return kithttp.NewServer(e, decode, kithttp.EncodeJSONResponse, kithttp.ServerErrorEncoder(encodeError))
}

func encodeError(_ context.Context, err error, w http.ResponseWriter) {
	code := http.StatusServiceUnavailable
	var notFound *NotFoundError
	if errors.As(err, &notFound) {
		code = http.StatusNotFound
	}
	http.Error(w, err.Error(), code)
}

func (s *Server) readyz(w http.ResponseWriter, _ *http.Request) {
	if why := s.NotReadyReason(); why != fleet.ReasonNone {
		http.Error(w, why.String(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (s *Server) metrics(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("format") == "json" || strings.Contains(r.Header.Get("Accept"), "application/json") {
		w.Header().Set("Content-Type", "application/json")
		if err := json.NewEncoder(w).Encode(s.Registry); err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
		}
		return
	}
	w.Header().Set("Content-Type", "text/plain; version=0.0.4")
	writeText(w, s.Registry)
}

func (s *Server) trace(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/gzip")
	recorded, err := s.Trace(w)
	if !recorded {
		http.Error(w, "no trace is kept; start the router with --trace-bytes", http.StatusNotFound)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (s *Server) status(ctx context.Context, _ interface{}) (interface{}, error) {
	return s.Status(ctx)
}

func (s *Server) explainRequest(_ context.Context, request interface{}) (interface{}, error) {
	name, _ := request.(string)
	explanation, found := s.History.Find(name)
	if !found {
		return nil, &NotFoundError{What: "request", Name: name}
	}
	return explanation, nil
}

func (s *Server) explainTeam(ctx context.Context, request interface{}) (interface{}, error) {
	name, _ := request.(string)
	return s.Team(ctx, name)
}

// Scrape returns a handler that serves all metrics in the Prometheus text format.
func Scrape(registry metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		writeText(w, registry)
	})
}
