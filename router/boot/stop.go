package boot

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// headerTimeout bounds how long an operator may take over a request's header.
	headerTimeout = 10 * time.Second
	// lingerLimit bounds how long a stop waits for connections to fall idle; idleLong is how long they must have been idle,
	// and lingerCheck is the time between two looks.
	lingerLimit = 3 * time.Second
	idleLong    = 500 * time.Millisecond
	lingerCheck = 50 * time.Millisecond
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
	server.ConnState = r.conns.note
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
	r.linger(limit)
	err := callers.Shutdown(limit)
	if err != nil {
		r.cut(callers)
		err = errors.Wrap(err, "requests were cut")
	}
	r.log.Info("stopped", "after", time.Since(began), "error", err)
	return err
}

// linger waits, up to lingerLimit, until no caller has used its connection for idleLong. Answers since the stop began told
// callers to connect elsewhere, but one that began before may be followed by a request on the same connection, which a
// close at that moment would cut.
func (r *Router) linger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lingerLimit)
	defer cancel()
	ticker := time.NewTicker(lingerCheck)
	defer ticker.Stop()
	for !r.conns.quiet(idleLong) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
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

// serve runs an HTTP server until the context ends or it is shut down.
func serve(ctx context.Context, server *http.Server, socket net.Listener) error {
	stopped := context.AfterFunc(ctx, func() { server.Close() })
	defer stopped()
	err := server.Serve(socket)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return nil
	}
	return errors.Wrap(err, "serve")
}
