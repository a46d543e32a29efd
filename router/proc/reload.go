package proc

import (
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
)

// Reload takes up settings that may change while the process runs: seeds, grace and the budget of repeats. Addresses, names
// and memory stay as they were at the start. Its error names the setting that can't be used; then nothing changes.
func (p *Process) Reload(s Settings) error {
	if err := s.Check(); err != nil {
		p.log.Error("settings not taken up", "error", err)
		return err
	}
	next := *p.settings.Load()
	next.Seeds, next.Grace, next.Ratio, next.Slack = s.Seeds, s.Grace, s.Ratio, s.Slack
	p.settings.Store(&next)
	p.gate.With(func(_ time.Duration, _ *pool.Pool) {
		p.relay.Budgets.Ratio, p.relay.Budgets.Slack = next.Ratio, next.Slack
	})
	if p.share != nil {
		p.share.WithFleet(func(_ time.Duration, f *digest.Fleet) { f.Seeds = next.Seeds })
	}
	p.log.Info("settings taken up", "seeds", len(next.Seeds), "grace", next.Grace, "ratio", next.Ratio, "slack", next.Slack)
	return nil
}
