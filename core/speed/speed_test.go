package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// fleet is a set of routers that measure the servers of one service and exchange their evidence with a delay.
type fleet struct {
	rate, fixed float64 // tokens per ms, and ms
	speeds      []float64
	random      *rand.Rand
	late        map[int]float64 // milliseconds by which the measurements of a router are late

	fits    []Fit
	records [][]Record
	learnt  [][]float64 // by router
	sent    [][]Evidence
}

func newFleet(routers int, rate, fixed float64, speeds []float64) *fleet {
	f := &fleet{rate: rate, fixed: fixed, speeds: speeds, random: rand.New(rand.NewPCG(uint64(routers), 3)), fits: make([]Fit, routers)}
	for range routers {
		f.records = append(f.records, make([]Record, len(speeds)))
		f.learnt = append(f.learnt, Relative(make([]Evidence, len(speeds))))
		f.sent = append(f.sent, make([]Evidence, len(speeds)))
	}
	return f
}

// request plays one request at a random router and server: a part of the requests meets unknown work, or finds a part of its prompt cached
// or not cached.
func (f *fleet) request(now time.Duration) {
	r, s := f.random.IntN(len(f.fits)), f.random.IntN(len(f.speeds))
	tokens := 100 + 900*math.Exp(f.random.NormFloat64())
	read := tokens
	switch x := f.random.Float64(); {
	case x < 0.1:
		read *= 0.4
	case x < 0.15:
		read += 3000
	}
	took := f.fixed + read/f.rate/f.speeds[s] + 5*f.random.Float64() + f.late[r]
	if f.random.Float64() < 0.3 {
		took += 25 * f.random.ExpFloat64() / f.speeds[s]
	}
	measured := time.Duration(took * float64(time.Millisecond))
	f.fits[r].Observe(int64(tokens), f.learnt[r][s], measured)
	f.records[r][s].Observe(now, f.fits[r].Duration(int64(tokens)), measured-f.fits[r].Fixed())
}

// exchange lets each router learn from its own evidence and the older one of the others.
func (f *fleet) exchange(now time.Duration) {
	for r := range f.fits {
		all := make([]Evidence, len(f.speeds))
		for s := range all {
			all[s] = f.records[r][s].Evidence(now)
			for o := range f.sent {
				if o != r {
					all[s].Add(f.sent[o][s])
				}
			}
		}
		f.learnt[r] = Relative(all)
	}
	for r := range f.fits {
		for s := range f.sent[r] {
			f.sent[r][s] = f.records[r][s].Evidence(now)
		}
	}
}

func (f *fleet) run(seconds int, perSecond int) {
	for i := range seconds * perSecond {
		now := time.Duration(i) * time.Second / time.Duration(perSecond)
		if i%perSecond == 0 {
			f.exchange(now)
		}
		f.request(now)
	}
	f.exchange(time.Duration(seconds) * time.Second)
}

// TestSpeedsAreFound guards against sending to slow servers as if they were fast: a router sees a server once in 4 s, so it has to learn
// from the measurements of all.
func TestSpeedsAreFound(t *testing.T) {
	for name, c := range map[string]struct{ routers, servers, seconds, perSecond int }{
		"77 routers": {77, 112, 6, 2000},
		"9 routers":  {9, 9, 6, 180},
	} {
		t.Run(name, func(t *testing.T) {
			speeds := make([]float64, c.servers)
			for i := range speeds {
				speeds[i] = []float64{0.6, 1, 1.6}[i%3]
			}
			f := newFleet(c.routers, 45, 12, speeds)
			f.run(c.seconds, c.perSecond)
			for _, r := range []int{0, c.routers - 1} {
				for s, want := range speeds {
					if got := f.learnt[r][s]; math.Abs(math.Log(got/want)) > 0.35 {
						t.Errorf("router %d takes server %d for %.2f times as fast as usual, want %.2f", r, s, got, want)
					}
				}
			}
		})
	}
}

// TestEqualServersStayEqual guards against estimates that follow noise, and against a saturated router whose own delay makes servers look
// slow.
func TestEqualServersStayEqual(t *testing.T) {
	for name, c := range map[string]struct {
		routers, servers, perSecond int
		late                        map[int]float64
	}{
		"77 routers":                {77, 112, 2000, nil},
		"9 routers":                 {9, 9, 180, nil},
		"77 routers, three of them": {77, 112, 2000, map[int]float64{0: 130, 1: 60, 2: 90}},
		"9 routers, one of them":    {9, 9, 180, map[int]float64{0: 130}},
	} {
		t.Run(name, func(t *testing.T) {
			speeds := make([]float64, c.servers)
			for i := range speeds {
				speeds[i] = 1
			}
			f := newFleet(c.routers, 45, 12, speeds)
			f.late = c.late
			f.run(20, c.perSecond)
			sum, worst := 0.0, 0.0
			for _, got := range f.learnt[c.routers-1] {
				sum += square(math.Log(got))
				worst = max(worst, math.Abs(math.Log(got)))
			}
			if rms := math.Sqrt(sum / float64(c.servers)); rms > 0.05 || worst > 0.2 {
				t.Errorf("equal servers deviate by %.3f from 1, and by up to %.3f", rms, worst)
			}
		})
	}
}

// TestRateDoesNotDrift guards against a rate that follows the fastest samples: 15 to 27 tokens per ms were measured where routers
// estimated 25 to 74.
func TestRateDoesNotDrift(t *testing.T) {
	for _, c := range []struct{ rate, fixed float64 }{{20, 25}, {31, 41}, {82, 7}} {
		t.Run(fmt.Sprint(c.rate), func(t *testing.T) {
			f := newFleet(9, c.rate, c.fixed, []float64{1, 1, 1, 1, 1, 1, 1, 1, 1})
			f.run(20, 200)
			for r := range f.fits {
				if got := f.fits[r].Rate(); got < 0.7*c.rate || got > 1.3*c.rate {
					t.Errorf("router %d: rate %.1f with a fixed part of %v, want %.0f with %.0f ms", r, got, f.fits[r].Fixed(), c.rate, c.fixed)
				}
			}
		})
	}
}

// TestMomentFades guards against a slowdown of a moment that keeps work away from a server after it is over.
func TestMomentFades(t *testing.T) {
	var m Moment
	if got := m.Factor(0); got != 1 {
		t.Errorf("factor %g before any report", got)
	}
	const at = time.Second
	m.Report(at, 250)
	last := math.Inf(1)
	for age := time.Duration(0); age < MomentMaxAge; age += 50 * time.Millisecond {
		got := m.Factor(at + age)
		if age == 0 && got != 2.5 || got >= last || got <= 1 {
			t.Errorf("factor %.2f after %v, before that %.2f", got, age, last)
		}
		last = got
	}
	if got := m.Factor(at + MomentMaxAge); got != 1 {
		t.Errorf("factor %.2f after %v", got, MomentMaxAge)
	}
	m.Report(at, 250)
	m.Report(at, 0)
	if got := m.Factor(at); got != 1 {
		t.Errorf("factor %.2f once the server reports no slowdown", got)
	}
}

// TestContradictedReportsLoseWeight guards against a server that gets all work, or none, by false reports.
func TestContradictedReportsLoseWeight(t *testing.T) {
	for _, percent := range []int{25, 400} {
		var m Moment
		now := time.Second
		for range 10 {
			m.Report(now, percent)
			m.Check(now, now, 50*time.Millisecond, 50*time.Millisecond)
		}
		if got := m.Factor(now); math.Abs(math.Log(got)) > 0.2 {
			t.Errorf("%d %%: factor %.2f although work takes as long as usual", percent, got)
		}
		for range 10 {
			m.Report(now, percent)
			m.Check(now, now, 50*time.Millisecond, time.Duration(percent)*50*time.Millisecond/100)
		}
		if got := m.Factor(now) * 100; math.Abs(math.Log(got/float64(percent))) > 0.2 {
			t.Errorf("%d %%: factor %.2f once work takes that long", percent, got/100)
		}
	}
}

// TestNonsenseStaysBounded guards against measurements and reports that cut off a server or flood it.
func TestNonsenseStaysBounded(t *testing.T) {
	for _, measured := range []time.Duration{math.MinInt64, -time.Second, 0, 1, time.Hour, math.MaxInt64} {
		list := make([]Evidence, 9)
		var f Fit
		for i := range list {
			var r Record
			took := 50 * time.Millisecond
			if i == 0 {
				took = measured
			}
			for range 1000 {
				r.Observe(0, 50*time.Millisecond, took)
				f.Observe(2000, Min/10, took)
			}
			list[i] = r.Evidence(0)
		}
		for i, got := range Relative(list) {
			if !(got >= Min && got <= Max) || i > 0 && math.Abs(got-1) > 0.05 {
				t.Errorf("server 0 takes %v: server %d has the speed %g", measured, i, got)
			}
		}
		if !(f.Rate() >= minRate && f.Rate() <= maxRate) || f.Fixed() < 0 || f.Fixed() > maxFixed {
			t.Errorf("rate %g, fixed part %v", f.Rate(), f.Fixed())
		}
	}
	for _, list := range [][]Evidence{nil, {{}}, {{math.Inf(1), 1}, {1, 1}}, {{1, 0}, {1, 1}}, {{math.NaN(), math.NaN()}, {1, 1}}} {
		for _, got := range Relative(list) {
			if !(got >= Min && got <= Max) {
				t.Errorf("speed %g of the evidence %v", got, list)
			}
		}
	}
	for _, percent := range []int{math.MinInt, -1, 0, 1, 1000000, math.MaxInt} {
		var m Moment
		m.Report(0, percent)
		if got := m.Factor(0); !(got >= Min && got <= Max) {
			t.Errorf("%d %%: factor %g", percent, got)
		}
	}
}
