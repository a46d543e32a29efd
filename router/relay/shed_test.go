package relay

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"mangolug.org/core/pool"
)

// TestShedRequests floods an overloaded router. Its log must stay bounded and still report how many requests were shed and for which
// team. Shed requests must count as the team's demand, so that other routers leave the team its share.
func TestShedRequests(t *testing.T) {
	const flood = 10 * shedLogLimit
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	var lines bytes.Buffer
	w.relay.Log = log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
	read := w.relay.HeaderCodec.ParseRequest
	w.relay.HeaderCodec.ParseRequest = func(h http.Header) (RequestInfo, error) {
		a, err := read(h)
		a.Prompt = 1000
		return a, err
	}
	w.relay.Overloaded = func(Load) bool { return true }
	for range flood {
		a := w.do(t, http.MethodGet, "/keyed/", "", func(r *http.Request) { r.Header.Set(testKey, "k1") })
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Fatalf("status %d with Retry-After %q for a shed request", a.status, a.header.Get("Retry-After"))
		}
	}
	if n := strings.Count(lines.String(), "msg=refused"); n != shedLogLimit {
		t.Errorf("%d log lines for %d shed requests, want %d", n, flood, shedLogLimit)
	}
	lines.Reset()
	w.relay.LogShed()
	for _, want := range []string{"requests=200", "teams=1", "most=farm", "ofThat=200"} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("the summary %q lacks %s", lines.String(), want)
		}
	}
	w.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
		if b := p.FairShares(now); b.Demand < 100*flood {
			t.Errorf("the team's demand is %.0f tokens per second after %d shed requests of over 1,000 tokens each", b.Demand, flood)
		}
	})
	lines.Reset()
	w.relay.LogShed()
	if lines.Len() > 0 {
		t.Errorf("logged a summary without shed requests: %q", lines.String())
	}
}

// TestSlowSenderIsShed guards against a refusal on a kept-open connection that waits for a body which never arrives.
func TestSlowSenderIsShed(t *testing.T) {
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.relay.Overloaded = func(Load) bool { return true }
	w.relay.RebalanceDelay = func() time.Duration { return time.Second }
	c := w.dial(t)
	began := time.Now()
	if _, err := c.Write([]byte("POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nonly this")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(began.Add(3 * unreadBodyTimeout)); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer after %v: %v", time.Since(began), err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable || !answer.Close {
		t.Errorf("status %d, Connection: close %t, want 503 on a connection that is closed", answer.StatusCode, answer.Close)
	}
}
