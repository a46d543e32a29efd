package proc

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// noticeTime is how long the balancer may take to notice that a router stops: two probes, one second apart, and their answers.
	noticeTime = 2500 * time.Millisecond
	// cutShare is the fraction of the grace period after which requests that still run are cut.
	cutShare = 0.9
	// flushTimeout is how long callers have to receive the answers to requests that were cut.
	flushTimeout = 300 * time.Millisecond
)

// drainRemaining returns the time until requests are cut, and true once the process is stopping. The grace period that was in force when the stop began
// stays, whatever settings are reloaded meanwhile.
func (p *Process) drainRemaining() (time.Duration, bool) {
	cut := time.Duration(p.cutsAt.Load())
	if cut == 0 {
		return 0, false
	}
	return cut - p.now(), true
}

// refusesNew reports whether the process has been stopping for so long that the balancer has noticed.
func (p *Process) refusesNew() bool {
	at := time.Duration(p.stoppingAt.Load())
	return at != 0 && p.now()-at > noticeTime
}

// stop reports to the balancer that the router is not ready, serves until the balancer has noticed, drains requests in progress,
// and cuts those that still run after cutShare of the grace period.
func (p *Process) stop(callers *http.Server) error {
	began := time.Now()
	grace := p.settings.Load().Grace
	limit := time.Duration(cutShare * float64(grace))
	at := max(1, p.now())
	p.cutsAt.Store(int64(at + limit))
	p.stoppingAt.Store(int64(at))
	p.log.Info("stopping", "grace", grace)
	p.streams.TellOwn()
	drain, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	notice, cancelNotice := context.WithTimeout(drain, noticeTime)
	defer cancelNotice()
	<-notice.Done()
	err := p.entrance.Close(drain, callers)
	if err != nil {
		p.cancelRequests()
		last, cancelLast := context.WithTimeout(context.Background(), flushTimeout)
		defer cancelLast()
		if callers.Shutdown(last) != nil {
			_ = callers.Close() // the remaining connections are cut on purpose
		}
		err = errors.Wrap(err, "requests were cut")
	}
	p.log.Info("stopped", "after", time.Since(began), "error", err)
	return err
}
