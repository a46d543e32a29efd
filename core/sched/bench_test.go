package sched

import (
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
)

// benchCell is a cell under full load, in which each request that ends frees a slot for the next one.
type benchCell struct {
	s       *Scheduler
	now     time.Duration
	seq     []uint64
	running [][]uint64 // grant IDs by router, oldest first
	turn    int
	names   []string
	index   map[string]int // of the routers, by name
}

const benchRouters = 9

func newBenchCell(known, backlogged, engines int) *benchCell {
	c := &benchCell{s: &Scheduler{Term: term}, seq: make([]uint64, benchRouters), running: make([][]uint64, benchRouters)}
	var rules []rule.Server
	for i := range engines {
		rules = append(rules, rule.Server{Name: fmt.Sprintf("engine-%d", i), DataCentre: fmt.Sprintf("dc-%d", i%3), Limit: 16})
	}
	c.index = map[string]int{}
	for i := range benchRouters {
		c.names = append(c.names, fmt.Sprintf("router-%d", i))
		c.index[c.names[i]] = i
	}
	shares := make(map[string]int, known)
	teams := make([]string, known)
	for i := range known {
		teams[i] = fmt.Sprintf("team-%d", i)
		shares[teams[i]] = 1 + i%100
	}
	c.s.Share = func(team string) int { return shares[team] }
	c.s.Configure(0, rules, nil, nil)
	c.s.SetLenders(0, c.names, len(c.names))
	for _, name := range teams {
		c.s.history.store(name, costStats{mean: 100, ratio: 1})
	}
	for i := range c.names {
		d := fleet.Demand{Full: true}
		for j := range backlogged {
			if j%benchRouters == i {
				d.Waiting = append(d.Waiting, fleet.TeamDemand{Team: teams[j*(known/backlogged)], Waiting: 1 << 30, Estimate: 100})
			}
		}
		c.take(i, d)
	}
	return c
}

func (c *benchCell) take(router int, d fleet.Demand) {
	c.seq[router]++
	c.now += time.Microsecond
	d.Seq, d.SeenTerm, d.Seen = c.seq[router], term, 1<<62
	c.s.ReceiveDemand(c.now, c.names[router], "dc-0", c.now.Milliseconds(), d)
	for _, b := range c.s.Next(c.now) {
		i := c.index[b.To]
		for _, g := range b.Grants.Grants {
			c.running[i] = append(c.running[i], g.ID)
		}
	}
}

// step ends the oldest request of a router, which frees a slot for the next request.
func (c *benchCell) step() {
	for len(c.running[c.turn%benchRouters]) == 0 {
		c.turn++
	}
	i := c.turn % benchRouters
	c.turn++
	id := c.running[i][0]
	c.running[i] = c.running[i][1:]
	cost := int64(50 + c.turn*7919%101)
	c.take(i, fleet.Demand{Done: []fleet.Done{{Grant: id, Outcome: fleet.OutcomeCompleted, Cost: cost, FirstByte: 1000}}})
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkDecision measures one decision: processing the end of a request and granting the next one.
func BenchmarkDecision(b *testing.B) {
	for _, backlogged := range []int{49, 490, 4900, 49000} {
		b.Run(fmt.Sprintf("known=49000/backlogged=%d/engines=100", backlogged), func(b *testing.B) {
			benchmark(b, newBenchCell(49000, backlogged, 100))
		})
	}
	for _, engines := range []int{10, 30, 300} {
		b.Run(fmt.Sprintf("known=49000/backlogged=4900/engines=%d", engines), func(b *testing.B) {
			benchmark(b, newBenchCell(49000, 4900, engines))
		})
	}
}

func benchmark(b *testing.B, c *benchCell) {
	for range 20000 {
		c.step()
	}
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		c.step()
	}
	b.StopTimer()
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "decisions/s")
}

// TestCostGrowsWithLog counts comparisons because, unlike times, they are the same in every run.
func TestCostGrowsWithLog(t *testing.T) {
	const steps = 10000
	var first float64 // comparisons per decision divided by log n
	for _, backlogged := range []int{49, 490, 4900, 49000} {
		c := newBenchCell(49000, backlogged, 100)
		for range steps {
			c.step()
		}
		before := c.s.backlog.comparisons
		for range steps {
			c.step()
		}
		each := float64(c.s.backlog.comparisons-before) / steps
		ratio := each / math.Log2(float64(backlogged))
		t.Logf("%5d backlogged: %.1f comparisons a decision, %.2f of log n", backlogged, each, ratio)
		if first == 0 {
			first = ratio
		}
		if ratio > 1.1*first {
			t.Errorf("%d backlogged: %.2f comparisons over log n, %.2f at 49", backlogged, ratio, first)
		}
	}
}

// TestHeap bounds the memory of a scheduler with many known teams, a tenth of them backlogged.
func TestHeap(t *testing.T) {
	before := heap()
	c := newBenchCell(49000, 4900, 100)
	for range 20000 {
		c.step()
	}
	used := heap() - before
	t.Logf("heap of the scheduler and the table of shares: %.1f MB", float64(used)/1e6)
	if used > 32<<20 {
		t.Errorf("heap %d bytes, limit 32 MB", used)
	}
	runtime.KeepAlive(c)
}
