package proc

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/router/relay"
	"mangolug.org/router/share"
)

func at(revision int64) digest.Position { return digest.Position{Revision: revision} }

// TestPlatformOutage guards against many routers that all call a platform that none of them reaches, although each call is charged
// for. A router that hears no other router still calls for itself.
func TestPlatformOutage(t *testing.T) {
	const (
		step   = 50 * time.Millisecond
		length = 6 * time.Second
	)
	for name, tt := range map[string]struct {
		routers int
		hears   bool
		most    int // calls of all routers
		least   int
	}{
		"nine routers":                {routers: 9, hears: true, least: 9 * 4, most: 9 * 6},
		"295 routers":                 {routers: 295, hears: true, least: 5 * fleetCallRate / 2, most: 6 * fleetCallRate},
		"295 routers, each by itself": {routers: 295, least: 295 * 4, most: 295 * 6},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Process{began: time.Now(), registry: metrics.NewRegistry(), log: log.New(io.Discard)}
			p.gate = &relay.Gate{Clock: p.now, Pool: &pool.Pool{}}
			fleet := &digest.Fleet{Address: "10.0.0.1:1", DataCentre: "d", FirstBeat: 1}
			p.exchanger = &share.Exchanger{Fleet: fleet, Clock: p.now}
			followers := make([]follower, tt.routers)
			for i := range followers {
				followers[i] = follower{process: p, maxAge: maxStateAge}
			}
			p.exchanger.WithFleet(func(now time.Duration, f *digest.Fleet) { f.ObservePlatform(now, digest.Position{}, at(5), nil) })
			calls := 0
			for end := p.now() + length; p.now() < end; {
				p.began = p.began.Add(-step) // advance the clock
				p.exchanger.WithFleet(func(now time.Duration, f *digest.Fleet) {
					if tt.hears {
						f.Receive(now, digest.Message{From: "10.0.0.2:1", Members: members(tt.routers-1, now)})
					}
				})
				for i := range followers {
					if turn, wait := followers[i].decide(at(5)); wait == 0 && !turn.FromPeer {
						calls++
					}
				}
			}
			if calls < tt.least || calls > tt.most {
				t.Errorf("%d calls in %v, want %d to %d", calls, length, tt.least, tt.most)
			}
			if !p.sourceLost.Load() && tt.hears {
				t.Error("no router noticed that the platform is unreachable")
			}
		})
	}
}

// TestRouterThatMissedAChange guards against a router that the platform turns away and that takes itself for up to date since others reach it, though a
// change did not come through: it would take an old version for the only one (ORDER).
func TestRouterThatMissedAChange(t *testing.T) {
	for name, tt := range map[string]struct {
		announced int64
		recovers  bool
		count     digest.VersionCount
	}{
		"others have the same":  {announced: 5, recovers: true, count: digest.VersionsOne},
		"others have a new one": {announced: 7, count: digest.VersionsUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			p := &Process{began: time.Now().Add(-time.Hour), registry: metrics.NewRegistry(), log: log.New(io.Discard)}
			p.gate = &relay.Gate{Clock: p.now, Pool: &pool.Pool{}}
			p.gate.With(func(now time.Duration, q *pool.Pool) {
				q.SetServer(0, pool.Server{ID: "a", Service: "chat", Address: "10.0.1.1:80", Version: "v1"})
				q.ReadAnew(0, pool.Coverage{})
				q.SetPeers(now, digest.Sum{}, true, []string{"10.0.0.2:1"})
			})
			p.exchanger = &share.Exchanger{Fleet: &digest.Fleet{Address: "10.0.0.1:1", DataCentre: "d", FirstBeat: 1}, Clock: p.now}
			(&follower{process: p}).recordRead(digest.Position{}, at(5), nil)
			p.platformRecovered(at(5))
			p.platformLost(io.EOF)
			p.exchanger.WithFleet(func(now time.Duration, f *digest.Fleet) {
				f.Receive(now, digest.Message{From: "10.0.0.2:1", Position: at(tt.announced), Update: &digest.Update{Position: at(tt.announced)}})
			})
			f := follower{process: p, maxAge: maxStateAge, lastRead: p.now()}
			if turn, wait := f.decide(at(5)); (wait == 0 && turn.FromPeer) != tt.recovers {
				t.Errorf("turn %+v after %v, want one that recovers: %t", turn, wait, tt.recovers)
			}
			if known := p.serviceVersions(pool.ServiceID("chat"), time.Minute); known.Count != tt.count {
				t.Errorf("number of versions %v, want %d", known.Count, tt.count)
			}
		})
	}
}

// members returns n members in another data centre, whose heartbeat counters grow with time.
func members(n int, at time.Duration) []digest.Member {
	list := make([]digest.Member, n)
	for i := range list {
		list[i] = digest.Member{Address: fmt.Sprintf("10.0.%d.%d:1", 1+i/250, i%250), DataCentre: "a", Beat: uint64(at + 1)}
	}
	return list
}
