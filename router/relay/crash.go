package relay

import (
	"context"
	"time"

	"mangolug.org/core/pool"
)

const (
	// crashCheckDelay is the time from the end of a server's connections to the check whether it still listens: the operating system closes
	// the listener of a process that ends after its connections.
	crashCheckDelay = 50 * time.Millisecond
	// crashCheckTimeout bounds that check.
	crashCheckTimeout = 500 * time.Millisecond
)

// confirmCrash checks in the background whether the server of a run that broke off has ended, once for each incarnation. Only a refused
// connection shows it: one that times out may be due to the network.
func (s *Relay) confirmCrash(run *pool.Run) {
	check := false
	s.Gate.With(func(_ time.Duration, p *pool.Pool) { check = p.UncheckedCrash(run) })
	if !check {
		return
	}
	time.AfterFunc(crashCheckDelay, func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		listens, err := s.Client.Listens(ctx, run.Server.Address)
		s.Gate.With(func(now time.Duration, p *pool.Pool) { p.ConfirmCrash(now, run, !listens && err == nil) })
	})
}
