package world

import (
	"testing"
	"time"
)

// TestHotClientSpreads sends many times the usual load of a client to a data centre of small routers, whose load balancer sends its new
// connections to the first ready router. It guards against the same two or three routers taking turns at refusing all of it while the
// others are idle, and against too many routers that are not ready meanwhile.
func TestHotClientSpreads(t *testing.T) {
	for name, c := range map[string]struct {
		rate    int     // requests per second; a router serves about 120
		served  float64 // fraction of the requests
		routers int     // that serve a fiftieth of what is served
	}{
		"four routers' load":    {rate: 600, served: 0.8, routers: 5},
		"ten routers' load":     {rate: 1200, served: 0.25, routers: 5},
		"twenty routers' load":  {rate: 2400, served: 0.1, routers: 7},
		"less than a router's":  {rate: 60, served: 1, routers: 1},
		"as much as one router": {rate: 110, served: 0.95, routers: 1},
	} {
		t.Run(name, func(t *testing.T) {
			d := SmallRouter()
			d.RejectCost = 25 * time.Microsecond // by BenchmarkRefusal
			m := EntranceModel{
				Router: d, AcceptCost: 80 * time.Microsecond, Routers: 25, Rate: c.rate, Background: 20, Patience: 3 * time.Second,
				Duration: 40 * time.Second,
			}
			s := RunEntrance(m)
			var unready time.Duration
			routers := 0
			for i, n := range s.Taking {
				unready += s.NotReady[i]
				if n > 0 && n >= s.Served/50 {
					routers++
				}
			}
			t.Logf("%d of %d served by %d routers, not ready for %v: %+v", s.Served, s.Requests, routers, unready, s)
			if float64(s.Served) < c.served*float64(s.Requests) {
				t.Errorf("%d of %d requests served, want %.2f of them", s.Served, s.Requests, c.served)
			}
			if routers < c.routers {
				t.Errorf("served by %d routers, want %d", routers, c.routers)
			}
			if most := fleetRouters * m.Duration / 10; unready > most {
				t.Errorf("routers were not ready for %v, want %v at most", unready, most)
			}
		})
	}
}
