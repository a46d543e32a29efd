package world

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
)

const (
	// slowFactor, slowTime and slowPeriod describe slowdowns: work takes 2.5 times as long for 0.6 s, at a seventh of the
	// servers at any time.
	slowFactor = 2.5
	slowTime   = 600 * time.Millisecond
	slowPeriod = 7 * slowTime
	// snapshotPeriod is the interval between snapshots of all routers' loads.
	snapshotPeriod = 20 * time.Millisecond
	// newsPeriod is the interval between two digests that a router gets. Each has a snapshot that is 100 to 200 ms old, so
	// that news is 100 to 300 ms old when it is used.
	newsPeriod   = 100 * time.Millisecond
	minNewsAge   = 100 * time.Millisecond
	newsAgeRange = 100 * time.Millisecond
	// samplePeriod is the interval at which the balance of the servers is sampled.
	samplePeriod = 20 * time.Millisecond
	// overloadFactor is the load of an overloaded server, as a multiple of the mean.
	overloadFactor = 2
	// noticeableWait is a quarter of the shortest objective: a server whose unread prompts take that long holds up the
	// next request.
	noticeableWait = 100 * time.Millisecond
	// waitQuantile is the quantile of the times to the first event that Balance gives.
	waitQuantile = 0.95
)

// Disturbance changes what routers know.
type Disturbance struct {
	NewsLost func(router int) bool              // whether a router gets no digests at this moment; nil for none
	Nonsense func(server int) (pool.Load, bool) // the load that a server tells in place of its own; nil for none
	Restart  []int                              // routers that restart empty in this tick; their requests go on unseen
}

// Balance tells how evenly load was distributed.
type Balance struct {
	Overloaded float64       // fraction of the moments at which a server was overloaded beside an idle one, mean over all servers
	Turns      float64       // how often a server became overloaded beside an idle one, per server and second
	SentTo     float64       // fraction of the sent requests that were sent to such a server
	Wait       time.Duration // 95th percentile of the time from sending to the first event
	Late       float64       // fraction of the sent requests whose first event came after the objective
	InTime     float64       // fraction of all requests that were answered in time and without a long pause
}

// String returns the figures that tests log.
func (b Balance) String() string {
	return fmt.Sprintf("overloaded beside an idle server %.4f (%.3f turns per second), sent to one %.4f, first event within %d ms at the 95th percentile, late %.4f, in time %.4f",
		b.Overloaded, b.Turns, b.SentTo, b.Wait.Milliseconds(), b.Late, b.InTime)
}

// balanceMeter measures how evenly load is distributed.
type balanceMeter struct {
	active              bool
	samples, overloaded int
	turns               int
	was                 []bool // by server: overloaded in the last sample
	sampledAt           time.Duration
}

func (s *server) requests() int { return len(s.queue) + len(s.running) }

// idle reports whether a server could begin another request at once and has over half of its slots free.
func (s *server) idle() bool {
	return !s.down && 2*s.requests() < s.engine.Slots && len(s.queue) == 0
}

// holdsUp reports whether the next request has to wait at a server, for a slot or for the prompts of others.
func (s *server) holdsUp() bool {
	if s.requests() >= s.engine.Slots {
		return true
	}
	var unread int64
	for _, j := range s.running {
		unread += j.unprefilled
	}
	return float64(unread) > s.engine.PrefillPerMs*max(s.speed, 0.01)*float64(noticeableWait/time.Millisecond)
}

// overloadedServers reports for each server whether it has over twice the mean number of requests and holds up the next
// one while another server is idle. The fair number of requests is the same for all servers: at a faster one more begin,
// and each ends sooner.
func overloadedServers(servers []*server) []bool {
	list := make([]bool, len(servers))
	total, up, idle := 0, 0, false
	for _, s := range servers {
		if !s.down {
			total, up, idle = total+s.requests(), up+1, idle || s.idle()
		}
	}
	if !idle {
		return list
	}
	for i, s := range servers {
		list[i] = !s.down && s.requests()*up > overloadFactor*total && s.holdsUp()
	}
	return list
}

func (m *balanceMeter) sample(now time.Duration, servers []*server) {
	if now < m.sampledAt+samplePeriod {
		return
	}
	m.sampledAt = now
	list := overloadedServers(servers)
	for i, over := range list {
		m.samples++
		if over {
			m.overloaded++
			if m.was != nil && !m.was[i] {
				m.turns++
			}
		}
	}
	m.was = list
}

func (m *balanceMeter) observeSend(servers []*server, to *server, r *Request) {
	if m.active {
		r.overloaded = overloadedServers(servers)[slices.Index(servers, to)]
	}
}

func (m *balanceMeter) summarise(requests []*Request, kinds []Kind) Balance {
	if !m.active {
		return Balance{}
	}
	b := Balance{Overloaded: float64(m.overloaded) / float64(max(1, m.samples)), Turns: float64(m.turns) / float64(max(1, m.samples)) / samplePeriod.Seconds()}
	var waits []time.Duration
	for _, r := range requests {
		k := &kinds[r.Kind]
		if r.earnedWorth(k) == k.Worth {
			b.InTime += 1 / float64(len(requests))
		}
		if r.sent == 0 || r.firstEvent == 0 {
			continue
		}
		waits = append(waits, r.firstEvent-r.sent)
		if r.overloaded {
			b.SentTo++
		}
		if r.firstEvent-r.Arrived > k.Objective {
			b.Late++
		}
	}
	if n := len(waits); n > 0 {
		slices.Sort(waits)
		b.Wait = waits[int(float64(n)*waitQuantile)]
		b.SentTo /= float64(n)
		b.Late /= float64(n)
	}
	return b
}

// paced returns the duration of a step at the server's speed at this moment.
func (s *server) paced(now, elapsed time.Duration) time.Duration {
	if s.speed > 0 {
		elapsed = time.Duration(float64(elapsed) / s.speed)
	}
	if s.slow(now) {
		elapsed = time.Duration(float64(elapsed) * slowFactor)
	}
	return elapsed
}

func (s *server) slow(now time.Duration) bool {
	return s.slowdowns && (now+s.slowPhase)%slowPeriod < slowTime
}

// staleNews holds the snapshots that are on their way.
type staleNews struct {
	rng       *rand.Rand
	snapshots []snapshot
	next      []time.Duration // by router: when it gets its next digest
}

type snapshot struct {
	at      time.Duration
	reports []digest.Sum
	total   digest.Sum
}

func (w *simulation) makeUneven(p *Pattern, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 11))
	for i, s := range w.servers {
		if len(p.Speeds) > 0 {
			s.speed = p.Speeds[i%len(p.Speeds)]
		}
		s.slowdowns, s.slowPhase = p.Slowdowns, time.Duration(rng.Int64N(int64(slowPeriod)))
	}
	w.balance.active = p.StaleNews
	w.news.rng = rng
	for range w.pools {
		w.news.next = append(w.news.next, time.Duration(rng.Int64N(int64(newsPeriod))))
	}
}

// exchangeLoads gives routers the news of this tick.
func (w *simulation) exchangeLoads(now time.Duration, p *Pattern) {
	if !p.StaleNews {
		w.reportLoads(now)
		return
	}
	if p.Disturb != nil {
		w.disturbance = Disturbance{}
		p.Disturb(now, &w.disturbance)
		for _, i := range w.disturbance.Restart {
			w.restart(now, i)
		}
	}
	if now < w.duration {
		w.balance.sample(now, w.servers)
	}
	w.deliverStale(now)
}

// deliverStale gives each router, at moments of its own, the sum of the others' loads at an earlier moment.
func (w *simulation) deliverStale(now time.Duration) {
	if now%snapshotPeriod == 0 {
		s := snapshot{at: now}
		for _, q := range w.pools {
			sum := q.Summary(now)
			s.reports = append(s.reports, sum)
			s.total.Add(sum)
		}
		w.news.snapshots = append(w.news.snapshots, s)
		if keep := int((minNewsAge+newsAgeRange)/snapshotPeriod) + 2; len(w.news.snapshots) > keep {
			w.news.snapshots = w.news.snapshots[1:]
		}
	}
	for i, q := range w.pools {
		if now < w.news.next[i] {
			continue
		}
		w.news.next[i] = now + newsPeriod
		age := minNewsAge + time.Duration(w.news.rng.Int64N(int64(newsAgeRange)))
		lost := w.disturbance.NewsLost != nil && w.disturbance.NewsLost(i)
		at := -1
		for k := range w.news.snapshots {
			if w.news.snapshots[k].at <= now-age {
				at = k
			}
		}
		if at < 0 || lost {
			q.SetPeers(now, digest.Sum{}, false, make([]string, len(w.pools)-1))
			continue
		}
		var others digest.Sum
		others.Add(w.news.snapshots[at].total)
		others.Subtract(w.news.snapshots[at].reports[i])
		q.SetPeers(now, others, true, make([]string, len(w.pools)-1))
	}
}

// reportInResponse tells the router the load of the server with the head of a response.
func (w *simulation) reportInResponse(now time.Duration, q *pool.Pool, j *attempt) {
	if !w.balance.active || j.reported {
		return
	}
	j.reported = true
	s := w.byID[j.run.Server.ID]
	l := pool.Load{Running: len(s.running), Waiting: len(s.queue), Slots: s.engine.Slots}
	if w.disturbance.Nonsense != nil {
		if odd, ok := w.disturbance.Nonsense(slices.Index(w.servers, s)); ok {
			l = odd
		}
	}
	q.ObserveLoad(now, j.run, l)
}

// restart replaces a router by one that knows nothing. The requests that waited at it are lost; servers go on with those
// that they have.
func (w *simulation) restart(now time.Duration, i int) {
	for a, r := range w.waiting {
		if r.Router == i {
			r.rejected, r.ended = true, now
			delete(w.waiting, a)
		}
	}
	w.pools[i] = w.newPool(now, i, len(w.servers), w.servers[0].engine.Slots)
}
