package growth

import (
	"runtime"
	"time"

	"mangolug.org/core/conf"
	"mangolug.org/core/rule"
)

// rounds is how often a time is measured; the least counts, as noise only adds.
const rounds = 5

// Series is one quantity of one role as one factor grows.
type Series struct {
	Role     string  `json:"role"`
	Quantity string  `json:"quantity"` // with its unit
	Factor   string  `json:"factor"`
	Fixed    string  `json:"fixed"` // what was held
	Points   []Point `json:"points"`
	Line     Line    `json:"line"`
}

// vary measures at every value of the factor.
func vary(s Series, values []int, measure func(n int) float64) Series {
	for _, n := range values {
		s.Points = append(s.Points, Point{X: float64(n), Y: measure(n)})
	}
	s.Line = Fit(s.Points)
	return s
}

// nanos gives the least time that one event takes, in nanoseconds; run does the given number of events.
func nanos(events int, run func(events int)) float64 {
	best := time.Duration(0)
	for i := range rounds {
		begin := time.Now()
		run(events)
		took := time.Since(begin)
		if i == 0 || took < best {
			best = took
		}
	}
	return float64(best.Nanoseconds()) / float64(events)
}

// held is what a measurement of the heap keeps in use; one field is set.
type held struct {
	scheduled *scheduled
	view      *fleetView
	file      *rule.File
	conf      *conf.Keeper
	room      *waitingRoom
	keys      *keyHome
}

// heap gives the bytes that stay in use by what build makes.
func heap(build func() held) float64 {
	before := inUse()
	kept := build()
	after := inUse()
	runtime.KeepAlive(kept)
	return float64(after) - float64(before)
}

func inUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// All measures every role.
func All() []Series {
	var all []Series
	for _, measure := range []func() []Series{Entry, Scheduler, Keys, Rules, Member, Wire} {
		all = append(all, measure()...)
	}
	return all
}
