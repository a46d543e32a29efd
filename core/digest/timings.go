package digest

import "time"

const (
	// minTimingsPeriod is the least time between two messages with timings. Speeds change rarely.
	minTimingsPeriod = time.Second
	// maxTimingsPeriod is the greatest: the evidence of the last ten seconds counts.
	maxTimingsPeriod = 10 * time.Second
	// timingsPeriodPerServer keeps timings within 0.5 KB per second to one receiver, at six bytes for a server, up to 800 servers.
	timingsPeriodPerServer = 12500 * time.Microsecond
	// staleTimingsPeriods is the age, in periods, above which received timings are dropped: one message may be lost. In between, sums
	// without timings keep the earlier ones.
	staleTimingsPeriods = 2.5
)

// TimingsPeriod returns the time between two messages with the evidence on the speeds of n servers.
func TimingsPeriod(n int) time.Duration {
	return min(max(time.Duration(n)*timingsPeriodPerServer, minTimingsPeriod), maxTimingsPeriod)
}

// withoutTimings returns the sum without the timings.
func (s Sum) withoutTimings() Sum {
	s.Timings = nil
	return s
}

// replaced returns what is kept of a sum that replaces an earlier one of the same sender.
func (f *Fleet) replaced(now time.Duration, old receivedSum, s Sum) receivedSum {
	next := receivedSum{sum: s, at: now, timingsAt: now}
	maxAge := time.Duration(staleTimingsPeriods * float64(TimingsPeriod(f.timed)))
	if len(s.Timings) == 0 && now-old.timingsAt <= maxAge {
		next.sum.Timings, next.timingsAt = old.sum.Timings, old.timingsAt
	}
	return next
}

// due returns a sum with its timings in the periods in which timings are sent, and without them in all others. All sums that are added
// up in such a period have theirs, so that they stay consistent.
func (f *Fleet) due(s Sum) Sum {
	if f.timingsDue {
		return s
	}
	return s.withoutTimings()
}

// updateTimingsDue decides whether timings are sent in this period.
func (f *Fleet) updateTimingsDue(now time.Duration) {
	f.timingsDue = f.timingsAt == 0 || now-f.timingsAt >= TimingsPeriod(f.timed)
	if f.timingsDue {
		f.timingsAt = max(1, now)
	}
}
