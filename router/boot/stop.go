package boot

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds how long an operator may take over a request's header.
	headerTimeout = 10 * time.Second
	// lastAnswers is how long requests that are cut at the time limit have to get their answers.
	lastAnswers = 2 * time.Second
)

// callers is the server for callers; while the router drains it asks them to connect elsewhere.
func (r *Router) callers() *http.Server {
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.loop.Draining() {
			w.Header().Set("Connection", "close")
		}
		r.front.ServeHTTP(w, q)
	})
	server := r.front.Server()
	server.Handler = handler
	server.ConnState = r.entrance.Conns.Note
	return server
}

// stop gives up duties, lets the balancer learn of it, finishes what runs, and says what had to be cut.
func (r *Router) stop(hurry context.Context, callers *http.Server) error {
	began := time.Now()
	r.log.Info("stopping", "drainDelay", r.settings.DrainDelay, "drainLimit", r.settings.DrainLimit)
	r.loop.Drain()
	limit, cancel := context.WithTimeout(hurry, r.settings.DrainLimit)
	defer cancel()
	delay, cancelDelay := context.WithTimeout(limit, r.settings.DrainDelay)
	defer cancelDelay()
	<-delay.Done()
	err := r.entrance.Close(limit, callers)
	if err != nil {
		r.cut(callers)
		err = errors.Wrap(err, "requests were cut")
	}
	r.log.Info("stopped", "after", time.Since(began), "error", err)
	return err
}

// cut ends the requests that still run, each with a true answer as far as there is time.
func (r *Router) cut(callers *http.Server) {
	r.front.Stop()
	last, cancel := context.WithTimeout(context.Background(), lastAnswers)
	defer cancel()
	if callers.Shutdown(last) != nil {
		callers.Close()
	}
}
