package proc

import (
	"time"

	"mangolug.org/core/digest"
)

// logSums logs how much of the fleet this router's sum of the others' loads covers while it is incomplete, and when another router
// begins to send it.
func (p *Process) logSums() {
	if p.exchanger == nil {
		return
	}
	var v digest.View
	p.exchanger.WithFleet(func(now time.Duration, f *digest.Fleet) { v = f.View(now) })
	if v.Known && v.Covered >= int64(v.Live) && v.Relay == p.lastRelay {
		return
	}
	p.lastRelay = v.Relay
	p.log.Info("sums", "relay", v.Relay, "parts", v.Parts, "covered", v.Covered, "live", v.Live, "age", v.Age, "known", v.Known)
}
