package pool

import (
	"fmt"
	"testing"
	"time"

	"mangolug.org/core/digest"
)

// trainSpeeds lets a pool see n requests at its servers, all of which prefill 30 tokens per ms but one at a fraction of that.
func trainSpeeds(t *testing.T, p *Pool, n int, slow string, fraction float64) time.Duration {
	const interval = 10 * time.Millisecond
	began := map[*Run]time.Duration{}
	now := time.Second
	for i := 0; i < n || len(began) > 0; i++ {
		now += interval
		p.SetPeers(now, digest.Sum{}, false, nil)
		for r, at := range began {
			if at <= now {
				p.Began(at, r)
				p.Ended(at, r, Result{})
				delete(began, r)
			}
		}
		if i >= n {
			continue
		}
		id, tokens := uint64(1<<40+i), int64(1000+50*(i%20))
		a := &Request{
			ID: fmt.Sprint("training", i), Service: "chat", Team: "u", PromptTokens: 100 + tokens, OutputTokens: 5, Segments: []Segment{{ID: id, Tokens: 100}, {ID: id << 1, Tokens: tokens}},
			Arrived: now, Objective: now + 5*time.Second, Deadline: now + 5*time.Second,
		}
		r := mustSend(t, p, now, a)
		rate := 30.0
		if r.Server.ID == slow {
			rate *= fraction
		}
		began[r] = now + 25*time.Millisecond + time.Duration(float64(tokens)/rate*float64(time.Millisecond))
	}
	return now
}

// TestSlowServerGetsNoUrgentWork guards against requests that are sent to a slow server although their first event can't be in time there,
// and are in time at any other.
func TestSlowServerGetsNoUrgentWork(t *testing.T) {
	for _, servers := range []int{9, 30} {
		t.Run(fmt.Sprint(servers, " servers"), func(t *testing.T) {
			const slow = "s1"
			p := newPool(servers)
			now := trainSpeeds(t, p, 60*servers, slow, 0.4)
			request := func(key uint64, own int64) *Request {
				a := chatRequest(now, int(key), key)
				a.Segments[2].Tokens, a.PromptTokens = own, 6000+own
				return a
			}
			homes := 0
			for key := uint64(2); homes < 5; key++ {
				if mustSend(t, newPool(servers), now, request(key, 100)).Server.ID != slow {
					continue
				}
				homes++
				r := mustSend(t, p, now, request(key, 100))
				if r.Server.ID != slow {
					t.Errorf("key %d: a short prompt went to %s, although it is in time at its home", key, r.Server.ID)
				}
				p.Began(now, r)
				p.Ended(now, r, Result{})
				r = mustSend(t, p, now, request(key, 10000)) // 333 ms, and 833 ms at the slow server, of 600
				if r.Server.ID == slow {
					t.Errorf("key %d: a long prompt went to the slow server", key)
				}
				p.Ended(now, r, Result{})
			}
		})
	}
}

// TestSpeedsOfOthersCount guards against a router that believes a slow server to be as fast as the others until it has met it itself, and
// against evidence that outlives its source.
func TestSpeedsOfOthersCount(t *testing.T) {
	const servers, slow = 9, "s1"
	p, q := newPool(servers), newPool(servers)
	now := trainSpeeds(t, p, 60*servers, slow, 0.4)
	sum := p.Summary(now)
	q.SetPeers(now, sum, true, []string{"r2"})
	now += q.speedPeriod()
	q.SetPeers(now, digest.Sum{}, true, []string{"r2"}) // not each message has timings
	for id, b := range q.servers {
		if got := b.speed.value(); (got < 0.65) != (id == slow) || id != slow && (got < 0.9 || got > 1.1) {
			t.Errorf("server %s: speed %.2f", id, got)
		}
	}
	q.SetPeers(now+evidenceMaxAge+q.speedPeriod(), digest.Sum{}, true, []string{"r2"})
	if got := q.servers[slow].speed.value(); got != 1 {
		t.Errorf("speed %.2f by evidence that nobody confirms", got)
	}
}

// TestReportedSlowdown guards against a slowdown that is not noticed while it lasts, and one that counts after it is over.
func TestReportedSlowdown(t *testing.T) {
	p := newPool(1)
	now := time.Second
	r := mustSend(t, p, now, chatRequest(now, 1, 2))
	v, b := p.service("chat"), p.servers["s0"]
	usual := p.prefillTime(now, v, b, 3000)
	for _, c := range []struct {
		percent int
		age     time.Duration
		want    float64
	}{{250, 0, 2.5}, {250, 150 * time.Millisecond, 1.75}, {250, 300 * time.Millisecond, 1}, {10000, 0, 4}, {1, 0, 0.25}, {0, 0, 1}} {
		p.ObserveLoad(now, r, Load{Running: 1, Slots: 12, Percent: c.percent})
		got := float64(p.prefillTime(now+c.age, v, b, 3000)) / float64(usual)
		if got < c.want-0.01 || got > c.want+0.01 {
			t.Errorf("%d %% reported %v ago: %.2f times the usual time, want %.2f", c.percent, c.age, got, c.want)
		}
	}
}
