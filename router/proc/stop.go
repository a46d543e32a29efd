package proc

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

const (
	// noticeTime is how long the balancer may take to see that a router leaves: two questions, a second apart, and their answers.
	noticeTime = 2500 * time.Millisecond
	// cutShare is the part of the grace after which requests that still run are cut.
	cutShare = 0.9
	// lastAnswers is how long callers have to take their last answers.
	lastAnswers = 300 * time.Millisecond
)

// left gives the time in which a new request can still end, once the process stops: none once the balancer has noticed.
func (p *Process) left() (time.Duration, bool) {
	at := time.Duration(p.leaving.Load())
	if at == 0 {
		return 0, false
	}
	passed := p.now() - at
	if passed > noticeTime {
		return 0, true
	}
	return time.Duration(cutShare*float64(p.settings.Load().Grace)) - passed, true
}

// stop tells the balancer, goes on serving until it has noticed, finishes what runs, and cuts what is left.
func (p *Process) stop(callers *http.Server) error {
	began := time.Now()
	p.leaving.Store(max(1, int64(p.now())))
	p.log.Info("stopping", "grace", p.settings.Load().Grace)
	limit, cancel := context.WithTimeout(context.Background(), time.Duration(cutShare*float64(p.settings.Load().Grace)))
	defer cancel()
	notice, cancelNotice := context.WithTimeout(limit, noticeTime)
	defer cancelNotice()
	<-notice.Done()
	err := p.entrance.Close(limit, callers)
	if err != nil {
		p.cut()
		last, cancelLast := context.WithTimeout(context.Background(), lastAnswers)
		defer cancelLast()
		if callers.Shutdown(last) != nil {
			_ = callers.Close() // what is left is cut on purpose
		}
		err = errors.Wrap(err, "requests were cut")
	}
	p.log.Info("stopped", "after", time.Since(began), "error", err)
	return err
}
