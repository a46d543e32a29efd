package speed

import (
	"math"
	"time"
)

const (
	// MomentMaxAge is the age from which on a reported slowdown counts for nothing, as it changes many times a second.
	MomentMaxAge = 300 * time.Millisecond
	// usualPercent is the report of a server that works as usual.
	usualPercent = 100.0
	// minClaim is the logarithm of a reported slowdown below which measurements can't tell whether it is true.
	minClaim = 0.2
	// doubtWeight is the weight of one measurement in the distrust of a server's reports.
	doubtWeight = 0.25
)

// Moment is what a server reports of how long work takes at the moment. The zero value is one that never reported.
type Moment struct {
	percent float64 // 0 for none
	at      time.Duration
	doubt   float64 // moving part of the reported deviation that measurements did not show
}

// Report records how long work takes in percent of the usual time; 0 means that the server did not say.
func (m *Moment) Report(now time.Duration, percent int) {
	m.percent, m.at = 0, now
	if percent > 0 {
		m.percent = min(max(float64(percent), usualPercent*Min), usualPercent*Max)
	}
}

// Factor returns the factor by which work takes longer than usual, from 0.25 to 4. The weight of a report falls with its age, and with
// the measurements that contradicted earlier ones.
func (m *Moment) Factor(now time.Duration) float64 {
	age := now - m.at
	if m.percent == 0 || age >= MomentMaxAge || age < 0 {
		return 1
	}
	weight := (1 - float64(age)/float64(MomentMaxAge)) * (1 - m.doubt)
	return 1 + weight*(m.percent/usualPercent-1)
}

// Check compares the newest report with the time that work took, by a request sent at the given time, with the time expected at the server's own speed.
func (m *Moment) Check(now, sent, expected, measured time.Duration) {
	if m.percent == 0 || m.at < sent || now-m.at >= MomentMaxAge || expected < MinExpected {
		return
	}
	claim := math.Log(m.percent / usualPercent)
	if math.Abs(claim) < minClaim {
		return
	}
	shown := math.Log(max(float64(measured)/float64(expected), Min))
	m.doubt += doubtWeight * (1 - min(max(shown/claim, 0), 1) - m.doubt)
}

// Percent returns the newest report if it still counts, and 100 otherwise.
func (m *Moment) Percent(now time.Duration) int {
	if m.Factor(now) == 1 {
		return usualPercent
	}
	return int(math.Round(m.percent))
}
