package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
)

func TestLimits(t *testing.T) {
	const get = "GET /swatch-desk/colours"
	tests := map[string]struct {
		change func(b *bench)
		call   string
		body   string
		status int
		want   string
	}{
		"not ready": {
			func(b *bench) { b.front.Ready = func() fleet.Reason { return fleet.ReasonNotReady } },
			get, "", 503, "notReady notRun",
		},
		"draining": {
			func(b *bench) { b.front.Ready = func() fleet.Reason { return fleet.ReasonDraining } },
			get, "", 503, "draining notRun",
		},
		"no configuration": {func(b *bench) { b.rules = nil }, get, "", 503, "notReady notRun"},
		"too many open": {
			func(b *bench) { b.front.Settings.MaxOpen = 1; b.front.open.total = 1 },
			get, "", 503, "tooManyOpen notRun",
		},
		"too many open of the team": {
			func(b *bench) { b.front.Settings.MaxOpenPerTeam = 1; b.front.open.teams = map[string]int{"joiners": 1} },
			get, "", 429, "tooManyOpen notRun",
		},
		"body too large": {
			func(b *bench) { b.front.Settings.BodyBytes = 10 },
			"POST /swatch-desk/colours", strings.Repeat("x", 11), 413, "bodyTooLarge notRun",
		},
		"too many bytes held": {
			func(b *bench) { b.front.Settings.BufferedBodyBytes = 10 },
			"POST /swatch-desk/colours", strings.Repeat("x", 11), 503, "queueBytes notRun",
		},
		"not JSON": {func(*bench) {}, "POST /v1/completions", "{", 400, "badRequest notRun"},
		"no retry budget": {
			func(b *bench) { b.front.Settings.RetryBurst = 0.5; b.front.Settings.RetryFraction = 0.1 },
			get, "", 503, "retryBudget unknown",
		},
		"no time left": {
			func(b *bench) { b.front.Settings.Timeout = time.Nanosecond },
			get, "", 504, "deadlinePassed notRun",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, cutBody)
			tt.change(b)
			b.start(t)
			method, path, _ := strings.Cut(tt.call, " ")
			answer, text := b.do(t, method, path, tt.body, nil)
			if got := refusalText(t, answer, text); answer.StatusCode != tt.status || got != tt.want {
				t.Errorf("%d %q, want %d %q", answer.StatusCode, got, tt.status, tt.want)
			}
			reason, _, _ := strings.Cut(tt.want, " ")
			if n := b.counter("refused." + reason); n != 1 {
				t.Errorf("counted %d refusals with reason %s, want 1", n, reason)
			}
			if b.front.open.bytes != 0 || len(b.front.open.teams) > 1 {
				t.Errorf("%d bytes still reserved, open requests by team %v", b.front.open.bytes, b.front.open.teams)
			}
		})
	}
}

func TestHeaderTooLarge(t *testing.T) {
	b := newBench(t, plainBody)
	b.front.Settings.HeaderBytes = 1000
	b.start(t)
	answer, _ := b.do(t, "GET", "/swatch-desk/colours", "", http.Header{"X-Long": {strings.Repeat("x", 10_000)}})
	if answer.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("status %d", answer.StatusCode)
	}
}

// dial opens a raw TCP connection to the router and sends text on it.
func (b *bench) dial(t *testing.T, format string, args ...interface{}) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", b.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(waitTime))
	if _, err := fmt.Fprintf(c, format, args...); err != nil {
		t.Fatal(err)
	}
	return c
}

func readStatus(t *testing.T, c net.Conn) int {
	t.Helper()
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

func TestWrongKeyIsRefusedBeforeTheBody(t *testing.T) {
	b := newBench(t, plainBody)
	b.start(t)
	// The body is never sent.
	c := b.dial(t, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer wrong\r\nContent-Length: 100000\r\n\r\n")
	if got := readStatus(t, c); got != http.StatusUnauthorized {
		t.Errorf("status %d", got)
	}
}

func TestSlowBody(t *testing.T) {
	b := newBench(t, plainBody)
	b.front.Settings.ReadTimeout = 500 * time.Millisecond
	b.start(t)
	c := b.dial(t, "POST /swatch-desk/colours HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: 100\r\n\r\nwal", testKey)
	if got := readStatus(t, c); got != http.StatusRequestTimeout {
		t.Errorf("status %d", got)
	}
	if n := b.counter("refused.slowCaller"); n != 1 {
		t.Errorf("counter is %d, want 1", n)
	}
}

func TestCallerGoesAway(t *testing.T) {
	tests := map[string]struct {
		answer string
		call   string
		body   string
	}{
		"before the answer":  {hang, "GET /swatch-desk/colours", ""},
		"in a stream":        {sse + chunks(false, textEvent) + hang, "POST /v1/chat/completions", modelBody},
		"in a broken stream": {sse + chunks(false, textEvent[:5]) + hang, "POST /v1/chat/completions", modelBody},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answer)
			b.start(t)
			c := b.dial(t, "%s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", tt.call, testKey, len(tt.body), tt.body)
			wait(t, "the request", b.backend.arrived)
			c.Close()
			wait(t, "the cancellation", b.backend.gone)
			wait(t, "the end of the grant", b.ended)
			b.server.Close()
			if d := cmp.Diff([]string{"1 cancelled"}, b.ends); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestNonIdempotentCallOutlivesItsCaller(t *testing.T) {
	b := newBench(t, plainBody)
	gone := make(chan struct{})
	finish := make(chan struct{})
	b.backend = slowBackend(t, finish)
	b.rules = testRules(b.backend.address)
	b.front.CloseKey = func(c fleet.KeyClose) {
		b.closeKey(c)
		close(gone)
	}
	b.start(t)
	c := b.dial(t, "POST /swatch-desk/dispatches HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nIdempotency-Key: %s\r\nContent-Length: 0\r\n\r\n", testKey, idempotencyKey)
	wait(t, "the request", b.backend.arrived)
	c.Close()
	close(finish)
	wait(t, "the key's end", gone)
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if d := cmp.Diff([]string{"answered 200 walnut"}, b.closes); d != "" {
		t.Error(d)
	}
}

// slowBackend answers only after finish is closed.
func slowBackend(t *testing.T, finish <-chan struct{}) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &backend{address: l.Addr().String(), arrived: make(chan struct{}, 1)}
	s := &http.Server{ReadHeaderTimeout: waitTime, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.arrived <- struct{}{}
		<-finish
		w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
		_, _ = io.WriteString(w, "walnut")
	})}
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { s.Close() })
	return b
}

func TestDataCentreOutAfterTheGrant(t *testing.T) {
	tests := map[string]struct {
		change func(b *bench)
		reason string
	}{
		"data centre out": {func(b *bench) { b.rules.DataCentresOut["lahore"] = true }, "dataCentreOut"},
		"server leaves":   {func(b *bench) { b.rules.Servers = nil }, "serverLeaving"},
		"grant lapses":    {func(*bench) {}, "grantExpired"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, plainBody)
			tries := 0
			b.front.Admit = scriptedAdmit(b, &tries, tt.reason)
			tt.change(b)
			b.start(t)
			answer, text := b.do(t, "GET", "/swatch-desk/colours", "", nil)
			if got := refusalText(t, answer, text); got != "noServer notRun" {
				t.Errorf("got %q", got)
			}
			if n := b.counter("retried." + tt.reason); n != 1 {
				t.Errorf("counter is %d, want 1", n)
			}
			if got := b.backend.requestsSeen(); len(got) != 0 {
				t.Errorf("sent %v, want no request sent", got)
			}
		})
	}
}

func TestRenewsAnOldPermission(t *testing.T) {
	b := newBench(t, plainBody)
	var later time.Duration
	b.front.Clock = func() time.Duration { return time.Since(b.begun) + later }
	b.front.Admit = delayedAdmit(b.front.Admit, func() { later += fleet.KeyRunLifetime })
	b.start(t)
	answer, text := b.do(t, "POST", "/swatch-desk/dispatches", "x", http.Header{"Idempotency-Key": {idempotencyKey}})
	if answer.StatusCode != 200 {
		t.Errorf("%d %s", answer.StatusCode, text)
	}
	b.server.Close()
	if d := cmp.Diff([]string{"refused 0 ", "answered 200 walnut"}, b.closes); d != "" {
		t.Error(d)
	}
	if n := b.counter("key.run"); n != 2 {
		t.Errorf("home queried %d times, want 2", n)
	}
}

func TestSlowReader(t *testing.T) {
	part := "data: {\"text\":\"" + strings.Repeat("x", 60_000) + "\"}\n\n"
	b := newBench(t, sse+chunks(false, strings.Repeat(part, 400))+hang)
	b.front.Settings.WriteTimeout = 100 * time.Millisecond
	b.start(t)
	b.dial(t, "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", testKey, len(modelBody), modelBody)
	wait(t, "the end of the grant", b.ended)
	b.server.Close()
	if n := b.counter("refused.slowCaller"); n != 1 {
		t.Errorf("counter is %d, want 1", n)
	}
	if d := cmp.Diff([]string{"1 cancelled"}, b.ends); d != "" {
		t.Error(d)
	}
}

func TestEachReasonHasARow(t *testing.T) {
	page, err := os.ReadFile("../../docs/REFUSALS.md")
	if err != nil {
		t.Fatal(err)
	}
	inner := map[fleet.Reason]bool{fleet.ReasonNone: true, fleet.ReasonGranted: true, fleet.ReasonHeld: true}
	for r := fleet.ReasonNone; r <= fleet.ReasonServersRest; r++ {
		if !inner[r] && !strings.Contains(string(page), "\n| `"+r.String()+"` | ") {
			t.Errorf("docs/REFUSALS.md has no row for %s", r)
		}
		row := fmt.Sprintf("\n| `%s` | %d | ", r, statusOf(&Refusal{Reason: r}))
		if !inner[r] && !strings.Contains(string(page), row) {
			t.Errorf("docs/REFUSALS.md: the row of %s does not begin with its status: %q", r, row)
		}
	}
}

// scriptedAdmit grants the first request, with an expired grant if the reason under test is grantExpired, and refuses later ones with noServer.
func scriptedAdmit(b *bench, tries *int, reason string) func(context.Context, entry.Request) entry.Verdict {
	return func(_ context.Context, q entry.Request) entry.Verdict {
		*tries++
		if *tries > 1 {
			return entry.Verdict{Request: q.ID, Reason: fleet.ReasonNoServer}
		}
		v := entry.Verdict{Request: q.ID, Reason: fleet.ReasonGranted, Expires: time.Hour}
		if reason == "grantExpired" {
			v.Expires = 0
		}
		v.Grant = fleet.Grant{ID: 1, Server: "server-1", Address: b.backend.address}
		return v
	}
}

// delayedAdmit lets time pass before a request is admitted.
func delayedAdmit(admit func(context.Context, entry.Request) entry.Verdict, pass func()) func(context.Context, entry.Request) entry.Verdict {
	return func(ctx context.Context, q entry.Request) entry.Verdict {
		pass()
		return admit(ctx, q)
	}
}
