package proc

import (
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
)

// Reload applies the settings that may change at run time: seeds, grace period and retry budget. Addresses, names and limits of
// memory and files stay as they were at the start. If a setting can't be used, Reload changes nothing and returns an error that
// names it.
func (p *Process) Reload(s Settings) error {
	if err := s.Check(); err != nil {
		p.log.Error("settings not taken up", "error", err)
		return err
	}
	next := *p.settings.Load()
	next.Seeds, next.Grace, next.RetryRatio, next.RetrySlack = s.Seeds, s.Grace, s.RetryRatio, s.RetrySlack
	p.settings.Store(&next)
	p.gate.With(func(_ time.Duration, _ *pool.Pool) {
		p.relay.Budgets.Ratio, p.relay.Budgets.Slack = next.RetryRatio, next.RetrySlack
	})
	if p.exchanger != nil {
		p.exchanger.WithFleet(func(_ time.Duration, f *digest.Fleet) { f.Seeds = next.Seeds })
	}
	p.log.Info("settings taken up", "seeds", len(next.Seeds), "grace", next.Grace, "ratio", next.RetryRatio, "slack", next.RetrySlack)
	return nil
}
