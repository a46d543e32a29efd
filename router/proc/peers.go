package proc

import (
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/router/share"
)

// newExchanger returns the exchange of loads with the other routers.
func (p *Process) newExchanger() *share.Exchanger {
	s := p.settings.Load()
	routers := 0
	return &share.Exchanger{
		Fleet: &digest.Fleet{
			Address: s.Control, DataCentre: s.DataCentre, Seeds: s.Seeds,
			FirstBeat: uint64(p.began.UnixMilli()),
		},
		Socket: p.peers, Clock: p.now,
		Summary: func() digest.Sum {
			var own digest.Sum
			p.gate.With(func(now time.Duration, q *pool.Pool) { own = q.Summary(now) })
			return own
		},
		OnPeers: func(others digest.Sum, known bool, live []string) {
			p.gate.With(func(now time.Duration, q *pool.Pool) { q.SetPeers(now, others, known, live) })
			if len(live) != routers {
				p.log.Info("routers", "others", len(live), "before", routers)
				routers = len(live)
			}
		},
		News: func() (suspects []digest.Suspect, limits []digest.RateLimit) {
			p.gate.With(func(now time.Duration, q *pool.Pool) { suspects, limits = q.Suspects(now), q.RateLimits(now) })
			return suspects, limits
		},
		OnNews: func(suspects []digest.Suspect, limits []digest.RateLimit) {
			p.gate.With(func(now time.Duration, q *pool.Pool) {
				q.MergeSuspects(now, suspects)
				q.MergeRateLimits(now, limits)
			})
		},
		Streams:   p.streams,
		OnStarted: func(routers []string) { go p.streams.TellStarted(routers) },
		OnNewer:   p.wakeSource,
		OnError: func(err error) {
			p.count("peers.failed")
			p.log.Debug("peers", "error", err)
		},
	}
}

// wakeSource lets the source decide anew whether to read the platform.
func (p *Process) wakeSource() {
	select {
	case p.newerState <- struct{}{}:
	default: // an earlier notification is still pending
	}
}
