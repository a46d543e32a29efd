package proc

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/pool"
)

const (
	// unevenLogPeriod is the minimum interval between two log lines about an uneven service.
	unevenLogPeriod = 10 * time.Second
	// balanceSample and balanceAlpha are the values that go-metrics recommends for a sample of the last five minutes.
	balanceSample = 1028
	balanceAlpha  = 0.015
)

// balanceLog observes how evenly load is distributed, and bounds the log lines about it.
type balanceLog struct {
	loggedAt time.Duration // 0 for never
}

// observe updates the histogram of the imbalance, and returns the most uneven service if a line about it is due.
func (l *balanceLog) observe(now time.Duration, balances []pool.ServiceBalance, registry metrics.Registry) (pool.ServiceBalance, bool) {
	var worst pool.ServiceBalance
	for _, b := range balances {
		if b.Percent == 0 {
			continue
		}
		sample := func() metrics.Histogram {
			return metrics.NewHistogram(metrics.NewExpDecaySample(balanceSample, balanceAlpha))
		}
		registry.GetOrRegister("imbalancePercent", sample).(metrics.Histogram).Update(b.Percent)
		if b.Overload && b.Percent > worst.Percent {
			worst = b
		}
	}
	if worst.Percent == 0 || l.loggedAt > 0 && now-l.loggedAt < unevenLogPeriod {
		return worst, false
	}
	l.loggedAt = max(1, now)
	return worst, true
}

// logBalance observes how evenly load is distributed, and logs the most uneven service if one of its servers has all slots
// taken and over twice the mean load while another one is idle.
func (p *Process) logBalance() {
	var balances []pool.ServiceBalance
	var now time.Duration
	p.gate.With(func(at time.Duration, q *pool.Pool) { now, balances = at, q.Balances(at) })
	b, due := p.balance.observe(now, balances, p.registry)
	if due {
		p.log.Warn("uneven", "service", b.Service, "server", b.Busiest.Server, "requests", b.Busiest.Requests, "slots", b.Busiest.Slots,
			"mean", b.Mean, "percent", b.Percent, "idle", b.Idle, "age", b.Age)
	}
}
