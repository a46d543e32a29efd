package relay

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

// limitTeam puts a team beyond its share of the fleet, beside another team that is served far less.
func (w *fixture) limitTeam(team string) {
	config := testConfig()
	config.Limits = route.Limits{HeaderBytes: 4096, BodyBytes: 1 << 20, TokensPerSecond: 1000}
	w.table.Store(route.NewTable(config))
	read := w.relay.HeaderCodec.ParseRequest
	w.relay.HeaderCodec.ParseRequest = func(h http.Header) (RequestInfo, error) {
		a, err := read(h)
		a.Prompt = 1000
		return a, err
	}
	w.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
		p.Configure(w.table.Load())
		p.CountShed(now, &pool.Request{Team: team, PromptTokens: 1000}) // so that the team is known here
		peers := p.Summary(now)
		for id := range peers.Teams {
			peers.Teams[id] = digest.Rates{Demand: 1 << 30, Served: 1 << 20}
			peers.Teams[id+1] = digest.Rates{Demand: 1 << 30, Served: 1}
		}
		peers.Routers = 1
		p.SetPeers(now, peers, true, []string{"other"})
	})
}

// TestOverShareIsRefusedUnread floods a router with requests of a team that is over its share. They must be refused without waiting for
// their bodies, count once as the team's demand, and leave the log bounded.
func TestOverShareIsRefusedUnread(t *testing.T) {
	const flood = 10 * shedLogLimit
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	var lines bytes.Buffer
	w.relay.Log = log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
	w.limitTeam("farm")
	demand := func() (tokens float64) {
		w.relay.Gate.With(func(now time.Duration, p *pool.Pool) { tokens = p.FairShares(now).Demand })
		return tokens
	}
	before, began := demand(), time.Now()
	for range flood {
		a := w.do(t, http.MethodPost, "/keyed/", strings.Repeat("x", 9000), func(r *http.Request) { r.Header.Set(testKey, "k1") })
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" || a.body != "teamShare\n" {
			t.Fatalf("status %d, body %q, Retry-After %q", a.status, a.body, a.header.Get("Retry-After"))
		}
	}
	if each := (demand() - before) / flood; each > 1256.1 || time.Since(began) < time.Second/10 && each < 1100 { // 1,000 read and twice 128 written
		t.Errorf("each request counts as %.0f tokens per second of the team's demand, want up to 1,256", each)
	}
	if n := strings.Count(lines.String(), "msg=refused"); n != shedLogLimit {
		t.Errorf("%d log lines for %d refused requests, want %d", n, flood, shedLogLimit)
	}
	lines.Reset()
	w.relay.LogShed()
	for _, want := range []string{`msg="over share"`, "requests=180", "teams=1", "most=farm", "ofThat=180"} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("the summary %q lacks %s", lines.String(), want)
		}
	}
	c := w.dial(t)
	if _, err := c.Write([]byte("POST /keyed/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nX-Key: k1\r\nContent-Length: 100\r\n\r\nonly this")); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil || answer.StatusCode != http.StatusServiceUnavailable {
		t.Fatalf("%+v, %v for a request whose body is not sent, want 503", answer, err)
	}
	answer.Body.Close()
	if n := w.count("refusedUnread.teamShare"); n != flood+1 {
		t.Errorf("%d requests refused unread, want %d", n, flood+1)
	}
}

// processorTime returns the processor time that this process has used, in the kernel too.
func processorTime(b *testing.B) time.Duration {
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err != nil {
		b.Fatal(err)
	}
	return time.Duration(used.Utime.Nano() + used.Stime.Nano())
}

// BenchmarkRefusal measures the processor time of a refused request with a body of 9 KB on an open connection, with that of its
// caller, which "nothing but the server" has as well.
func BenchmarkRefusal(b *testing.B) {
	for name, prepare := range map[string]func(w *fixture) http.Handler{
		"nothing but the server": func(*fixture) http.Handler {
			return http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
		},
		"tooManyOpen": func(w *fixture) http.Handler {
			w.relay.Overloaded = func(Load) bool { return true }
			w.relay.RebalanceDelay = func() time.Duration { return time.Second }
			return w.relay
		},
		"teamShare": func(w *fixture) http.Handler {
			w.limitTeam("farm")
			return w.relay
		},
	} {
		b.Run(name, func(b *testing.B) {
			w := newFixture(b, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
			w.relay.Log = log.NewWithOptions(struct{ io.Writer }{io.Discard}, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true}) // io.Discard itself would turn the log off
			w.server.Config.ReadHeaderTimeout, w.server.Config.IdleTimeout = 10*time.Second, time.Minute
			w.server.Config.Handler = prepare(w)
			c, err := net.Dial("tcp", w.server.Listener.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			defer c.Close()
			request := fmt.Appendf(nil, "POST /keyed/ HTTP/1.1\r\nHost: h\r\n%s: 0123456789abcdef\r\n%s: k1\r\n%s: 1000\r\nContent-Length: 9000\r\nContent-Type: application/json\r\n\r\n%s",
				testID, testKey, testTimeout, strings.Repeat("x", 9000))
			answer := make([]byte, 4096)
			b.ReportAllocs()
			before := processorTime(b)
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				n, err := c.Read(answer)
				if err != nil || !bytes.HasPrefix(answer[:n], []byte("HTTP/1.1 503 ")) {
					b.Fatalf("%q, %v", answer[:n], err)
				}
			}
			b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(b.N), "cpu-ns/op")
			if name == "teamShare" && w.count("refused.teamShare") == 0 {
				b.Error("refused for another reason")
			}
		})
	}
}

// TestRefusedRequestsAreNotOpen guards against refused requests that wait to be answered and fill the limit of open requests, so that
// nothing is served.
func TestRefusedRequestsAreNotOpen(t *testing.T) {
	w := newFixture(t, func(w *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { w.respond(rw, http.StatusOK, "ok") })
	const limit, flood = 2, 20
	var refuse, refused atomic.Int64
	refuse.Store(flood)
	w.relay.Overloaded = func(l Load) bool { return l.Open >= limit || refuse.Add(-1) >= 0 }
	for range flood {
		c := w.dial(t)
		if _, err := c.Write([]byte("POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nonly this")); err != nil {
			t.Fatal(err)
		}
		go func() {
			if answer, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil && answer.StatusCode == http.StatusServiceUnavailable {
				refused.Add(1)
			}
		}()
	}
	for deadline := time.Now().Add(10 * time.Second); w.relay.RefusedUnread() < flood && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	if n := w.relay.OpenRequests(); n != 0 {
		t.Errorf("%d requests are open while %d refused ones are answered", n, flood)
	}
	if a := w.do(t, http.MethodPost, "/safe/", "x", nil); a.status != http.StatusOK {
		t.Errorf("status %d beside refused requests, want 200", a.status)
	}
	if n := w.relay.Served(); n != 1 {
		t.Errorf("%d requests count as served, want 1", n)
	}
}
