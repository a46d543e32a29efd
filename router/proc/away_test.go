package proc

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
)

// TestOverloadedRouterStaysAway guards against a router in a large data centre that gets all connections of a hot client back one second
// after its last refusal, and against one that stays out of service once it is alone.
func TestOverloadedRouterStaysAway(t *testing.T) {
	s := start(t, echo)
	<-s.taker
	setLastReject := func(at time.Time) {
		s.process.limit.mutex.Lock()
		defer s.process.limit.mutex.Unlock()
		s.process.limit.lastReject = at
	}
	beat := uint64(1)
	gossip := func() {
		beat++
		m := digest.Message{From: "127.0.0.1:1"}
		for i := range 9 {
			m.Members = append(m.Members, digest.Member{Address: fmt.Sprint("127.0.0.1:", i+1), DataCentre: "east", Beat: beat})
		}
		s.process.exchanger.WithFleet(func(now time.Duration, f *digest.Fleet) { f.Receive(now, m) })
	}
	if status(s.ready) != http.StatusOK {
		t.Fatal("not ready at the start")
	}
	waitUntil(t, func() bool {
		gossip()
		s.process.gate.With(func(now time.Duration, p *pool.Pool) { p.CountShed(now, &pool.Request{Team: "t", PromptTokens: 1e6}) })
		setLastReject(time.Now())
		overloaded := status(s.ready) == http.StatusServiceUnavailable && !s.process.away.Load()
		setLastReject(time.Time{})
		return overloaded && status(s.ready) == http.StatusServiceUnavailable && s.process.away.Load()
	})
	if s.process.untilRedirected() > 0 {
		t.Error("probes of a router that stays away don't count as failed")
	}
	waitUntil(t, func() bool { return status(s.ready) == http.StatusOK }) // the other routers are lost
	if s.process.away.Load() {
		t.Error("still away")
	}
}
