package boot

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// finalAnswerTimeout is the time that requests aborted at the drain limit have to send their answers.
const finalAnswerTimeout = 2 * time.Second

// callers returns the HTTP server for callers. While the router drains, the server asks callers to close
// their connections and connect elsewhere.
func (r *Router) callers() *http.Server {
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		if r.loop.Draining() {
			w.Header().Set("Connection", "close")
		}
		r.front.ServeHTTP(w, q)
	})
	server := r.front.Server()
	server.Handler = handler
	server.ConnState = r.entrance.Conns.TrackState
	return server
}

// stop hands off the router's duties in the fleet, waits for the drain delay so that the load balancer notices, and lets
// running requests finish.
// It aborts those that still run at the drain limit, or when force is done, and then returns an error.
func (r *Router) stop(force context.Context, callers *http.Server) error {
	began := time.Now()
	r.log.Info("stopping", "drainDelay", r.settings.DrainDelay, "drainLimit", r.settings.DrainLimit)
	r.loop.Drain()
	limit, cancel := context.WithTimeout(force, r.settings.DrainLimit)
	defer cancel()
	delay, cancelDelay := context.WithTimeout(limit, r.settings.DrainDelay)
	defer cancelDelay()
	<-delay.Done()
	err := r.entrance.Close(limit, callers)
	if err != nil {
		r.abort(callers)
		err = errors.Wrap(err, "requests were cut")
	}
	r.log.Info("stopped", "after", time.Since(began), "error", err)
	return err
}

// abort ends the requests that still run. Each gets an answer with its actual outcome if finalAnswerTimeout allows.
func (r *Router) abort(callers *http.Server) {
	r.front.Stop()
	last, cancel := context.WithTimeout(context.Background(), finalAnswerTimeout)
	defer cancel()
	if callers.Shutdown(last) != nil {
		callers.Close()
	}
}
