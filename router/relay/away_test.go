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

// TestTurnedAway floods a router that has no room: its log stays bounded, and still says how many were turned away and whose.
// What was asked counts as its team's, so that the others leave it its share.
func TestTurnedAway(t *testing.T) {
	const flood = 10 * awayLines
	w := newWorld(t, func(_ *world, _ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	var lines bytes.Buffer
	w.relay.Log = log.NewWithOptions(&lines, log.Options{Formatter: log.LogfmtFormatter})
	read := w.relay.Dialect.Read
	w.relay.Dialect.Read = func(h http.Header) (Asked, error) {
		a, err := read(h)
		a.Prompt = 1000
		return a, err
	}
	w.relay.Full = func(Load) bool { return true }
	for range flood {
		a := w.ask(t, http.MethodGet, "/keyed/", "", func(r *http.Request) { r.Header.Set(testKey, "k1") })
		if a.status != http.StatusServiceUnavailable || a.header.Get("Retry-After") == "" {
			t.Fatalf("status %d with Retry-After %q for a request that was turned away", a.status, a.header.Get("Retry-After"))
		}
	}
	if n := strings.Count(lines.String(), "msg=refused"); n != awayLines {
		t.Errorf("%d lines for %d requests that were turned away, want %d", n, flood, awayLines)
	}
	lines.Reset()
	w.relay.TellAway()
	for _, want := range []string{"requests=200", "teams=1", "most=farm", "ofThat=200"} {
		if !strings.Contains(lines.String(), want) {
			t.Errorf("the summary %q lacks %s", lines.String(), want)
		}
	}
	w.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
		if b := p.Shares(now); b.Asked < 100*flood {
			t.Errorf("the team asks for %.0f tokens a second after %d requests of over 1,000 that were turned away", b.Asked, flood)
		}
	})
	lines.Reset()
	w.relay.TellAway()
	if lines.Len() > 0 {
		t.Errorf("a summary of nothing: %q", lines.String())
	}
}

// TestSlowSenderIsTurnedAway guards against refusals that wait for a body that does not come, where the connection is to stay open.
func TestSlowSenderIsTurnedAway(t *testing.T) {
	w := newWorld(t, func(_ *world, _ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	w.relay.Full = func(Load) bool { return true }
	w.relay.Moved = func() time.Duration { return time.Second }
	c := w.dial(t)
	began := time.Now()
	if _, err := c.Write([]byte("POST /safe/ HTTP/1.1\r\nHost: h\r\nX-Id: 1\r\nContent-Length: 100\r\n\r\nonly this")); err != nil {
		t.Fatal(err)
	}
	if err := c.SetReadDeadline(began.Add(3 * awayTime)); err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("no answer after %v: %v", time.Since(began), err)
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusServiceUnavailable || !answer.Close {
		t.Errorf("status %d, to be closed %t, want 503 on a connection that ends", answer.StatusCode, answer.Close)
	}
}
