package back

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"mangolug.org/core/fleet"
)

// newRawServer starts a server that answers each request with the given bytes and closes the connection. ID in the
// bytes stands for the attempt's ID.
func newRawServer(t *testing.T, answer string) (string, *atomic.Int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	var requests atomic.Int64
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				requests.Add(1)
				_, _ = io.Copy(io.Discard, r.Body)
				_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get(HeaderAttempt)))
			}()
		}
	}()
	return l.Addr().String(), &requests
}

func attempt(address string) Attempt {
	return Attempt{ID: "a1", Server: "desk-1", Address: address, Method: http.MethodPost, Target: "/orders", Body: []byte("walnut")}
}

func TestSend(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
	tests := map[string]struct {
		answer string
		want   *ServerError // nil if an answer is expected
		body   string
		broken bool // the body is truncated
	}{
		"whole":              {answer: head + "Content-Length: 4\r\n\r\nsent", body: "sent"},
		"chunked":            {answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nsent\r\n0\r\n\r\n", body: "sent"},
		"body cut":           {answer: head + "Content-Length: 4\r\n\r\nse", body: "se", broken: true},
		"chunk cut":          {answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nse", body: "se", broken: true},
		"last chunk missing": {answer: head + "Transfer-Encoding: chunked\r\n\r\n4\r\nsent\r\n", body: "sent", broken: true},
		"nothing":            {want: &ServerError{Reason: fleet.ReasonServerFailed, Sent: true}},
		"status line cut":    {answer: "HTTP/1.1 20", want: &ServerError{Reason: fleet.ReasonServerFailed, Sent: true}},
		"header cut":         {answer: head + "Content-Le", want: &ServerError{Reason: fleet.ReasonServerFailed, Sent: true}},
		"not HTTP":           {answer: "hello\r\n\r\n", want: &ServerError{Reason: fleet.ReasonServerFailed, Sent: true}},
		"another attempt's": {
			answer: "HTTP/1.1 200 OK\r\nX-Attempt-Id: a0\r\nContent-Length: 4\r\n\r\nsent",
			want:   &ServerError{Reason: fleet.ReasonForeignAnswer, Sent: true, Status: 200},
		},
		"no attempt id": {
			answer: "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nsent",
			want:   &ServerError{Reason: fleet.ReasonForeignAnswer, Sent: true, Status: 200},
		},
		"overloaded, not run": {
			answer: "HTTP/1.1 429 Slow\r\nX-Attempt-Id: ID\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
			want:   &ServerError{Reason: fleet.ReasonServerOverloaded, Sent: true, NotRun: true, Status: 429},
		},
		"another's not run": {
			answer: "HTTP/1.1 429 Slow\r\nX-Attempt-Id: a0\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n",
			want:   &ServerError{Reason: fleet.ReasonForeignAnswer, Sent: true, Status: 429},
		},
		"overloaded, perhaps run": {
			answer: "HTTP/1.1 503 Slow\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n",
		},
		"protocol switch": {
			answer: "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: ID\r\nConnection: Upgrade\r\nUpgrade: oak\r\n\r\nsent",
			want:   &ServerError{Reason: fleet.ReasonStreamBroken, Sent: true, Status: 101},
		},
		"ends where its connection ends": {
			answer: "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n\r\nsent",
			want:   &ServerError{Reason: fleet.ReasonStreamBroken, Sent: true, Status: 200},
		},
	}
	for name, tt := range tests {
		for _, once := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				address, requests := newRawServer(t, tt.answer)
				c := &Client{}
				defer c.Close()
				a := attempt(address)
				a.NonIdempotent = once
				answer, err := c.Send(context.Background(), a)
				if n := requests.Load(); n != 1 {
					t.Errorf("%d requests reached the server", n)
				}
				if tt.want != nil {
					checkError(t, err, tt.want)
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				defer answer.Body.Close()
				body, err := io.ReadAll(answer.Body)
				if string(body) != tt.body || (err != nil) != tt.broken {
					t.Errorf("body %q, error %v", body, err)
				}
			})
		}
	}
}

func checkError(t *testing.T, err error, want *ServerError) {
	t.Helper()
	var got *ServerError
	if !errors.As(err, &got) {
		t.Fatalf("error %v", err)
	}
	want.Server = "desk-1"
	if d := cmp.Diff(want, got, cmpopts.IgnoreFields(ServerError{}, "Err")); d != "" {
		t.Errorf("%v: %s", err, d)
	}
}

func TestNothingSent(t *testing.T) {
	address, requests := newRawServer(t, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n")
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closed.Close()
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := map[string]struct {
		ctx     context.Context
		address string
		lapsed  bool
		want    fleet.Reason
	}{
		"no listener":    {context.Background(), closed.Addr().String(), false, fleet.ReasonConnectFailed},
		"grant lapsed":   {context.Background(), address, true, fleet.ReasonGrantExpired},
		"cancelled":      {cancelled, address, false, fleet.ReasonConnectFailed},
		"no such target": {context.Background(), "127.0.0.1:99999", false, fleet.ReasonConnectFailed},
	}
	for name, tt := range tests {
		for _, once := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				c := &Client{}
				defer c.Close()
				a := attempt(tt.address)
				a.NonIdempotent = once
				a.GrantExpired = func() bool { return tt.lapsed }
				_, err := c.Send(tt.ctx, a)
				checkError(t, err, &ServerError{Reason: tt.want, NotRun: true})
			})
		}
	}
	if n := requests.Load(); n != 0 {
		t.Errorf("%d requests reached the server", n)
	}
}

func TestCancelledAfterTheWriteIsSent(t *testing.T) {
	arrived := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server detects a closed connection only after it has read the body
		close(arrived)
		<-r.Context().Done()
	}))
	defer s.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		<-arrived
		cancel()
	}()
	c := &Client{}
	defer c.Close()
	a := attempt(s.Listener.Addr().String())
	a.NonIdempotent = true
	_, err := c.Send(ctx, a)
	checkError(t, err, &ServerError{Reason: fleet.ReasonServerFailed, Sent: true})
}

func TestOnceIsNeverSentTwice(t *testing.T) {
	// The server answers one request per connection and drops the next. net/http by itself would
	// resend a call that has an Idempotency-Key and no body.
	address, requests := newRawServer(t, "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n")
	c := &Client{}
	defer c.Close()
	for n := range 20 {
		a := attempt(address)
		a.NonIdempotent, a.Body = true, nil
		a.Header = http.Header{"Idempotency-Key": {"k"}}
		answer, err := c.Send(context.Background(), a)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		if got := requests.Load(); got != int64(n+1) {
			t.Fatalf("%d requests reached the server after %d attempts", got, n+1)
		}
	}
}

func TestGate(t *testing.T) {
	first, second := &conn{}, &conn{}
	tests := map[string]struct {
		gate  *gate
		steps func(g *gate) error
		sent  bool
	}{
		"second connection of a call that may not be repeated": {
			&gate{once: true},
			func(g *gate) error {
				_ = g.allowWrite(first)
				return g.allowWrite(second)
			}, true,
		},
		"write after the end": {
			&gate{},
			func(g *gate) error {
				g.seal()
				return g.allowWrite(first)
			}, false,
		},
		"lapsed before net/http's own repetition": {
			&gate{},
			func(g *gate) error {
				_ = g.allowWrite(first)
				g.expired = func() bool { return true }
				return g.allowWrite(second)
			}, true,
		},
		"lapsed": {&gate{expired: func() bool { return true }}, func(g *gate) error { return g.allowWrite(first) }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if err := tt.steps(tt.gate); err == nil {
				t.Error("the write was permitted")
			}
			if got, _ := tt.gate.seal(); got != tt.sent {
				t.Errorf("sent %v, want %v", got, tt.sent)
			}
		})
	}
}

func TestHeaders(t *testing.T) {
	var got http.Header
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got = r.Header.Clone()
		w.Header().Set(HeaderAttempt, r.Header.Get(HeaderAttempt))
	}))
	defer s.Close()
	c := &Client{Settings: Settings{Source: net.IPv4(127, 0, 0, 1)}}
	defer c.Close()
	a := attempt(s.Listener.Addr().String())
	a.Request, a.Team, a.Fencing, a.Term = "r1", "joiners", true, 12
	a.Header = http.Header{"X-Team": {"turners"}, "Fencing-Term": {"99"}, "X-Colour": {"walnut"}}
	answer, err := c.Send(context.Background(), a)
	if err != nil {
		t.Fatal(err)
	}
	answer.Body.Close()
	want := map[string]string{
		HeaderAttempt: "a1", HeaderRequest: "r1", HeaderTeam: "joiners", HeaderFencing: "12", "X-Colour": "walnut",
	}
	for name, value := range want {
		if d := cmp.Diff([]string{value}, got.Values(name)); d != "" {
			t.Errorf("%s: %s", name, d)
		}
	}
}

func TestLoad(t *testing.T) {
	tests := map[string]struct {
		status int
		body   string
		want   fleet.Load
		reason fleet.Reason
	}{
		"whole": {
			200, `{"server":"desk-1","epoch":3,"running":2,"waiting":1,"limit":8,"ageMillis":40}`,
			fleet.Load{Server: "desk-1", Epoch: 3, Running: 2, Waiting: 1, Limit: 8, Age: 40},
			fleet.ReasonNone,
		},
		"another server's": {200, `{"server":"desk-2"}`, fleet.Load{}, fleet.ReasonForeignAnswer},
		"cut":              {200, `{"server":"desk-1","epo`, fleet.Load{}, fleet.ReasonServerFailed},
		"negative":         {200, `{"server":"desk-1","running":-1}`, fleet.Load{}, fleet.ReasonServerFailed},
		"error":            {500, `{}`, fleet.Load{}, fleet.ReasonServerFailed},
		"too long":         {200, `{"server":"desk-1"` + strings.Repeat(" ", maxLoadReportBytes) + "}", fleet.Load{}, fleet.ReasonServerFailed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(tt.status)
				_, _ = io.WriteString(w, tt.body)
			}))
			defer s.Close()
			c := &Client{}
			defer c.Close()
			got, err := c.Load(context.Background(), "desk-1", s.Listener.Addr().String())
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
			var failed *ServerError
			if errors.As(err, &failed) != (tt.reason != fleet.ReasonNone) || failed != nil && failed.Reason != tt.reason {
				t.Errorf("error %v, want reason %v", err, tt.reason)
			}
		})
	}
}

func TestLoadTimesOut(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }))
	defer s.Close()
	c := &Client{Settings: Settings{LoadTimeout: 10 * time.Millisecond}}
	defer c.Close()
	if _, err := c.Load(context.Background(), "desk-1", s.Listener.Addr().String()); err == nil {
		t.Error("Load returned no error")
	}
}

func TestFailureIsNamedByTheGate(t *testing.T) {
	// net/http may return its reader's error when the gate rejected the write.
	other := errors.New("read: use of closed network connection")
	tests := map[string]struct {
		gate *gate
		want ServerError
	}{
		"nothing written": {&gate{}, ServerError{Reason: fleet.ReasonConnectFailed, NotRun: true}},
		"lapsed":          {&gate{rejected: true}, ServerError{Reason: fleet.ReasonGrantExpired, NotRun: true}},
		"written":         {&gate{started: true}, ServerError{Reason: fleet.ReasonServerFailed, Sent: true}},
		"lapsed on a second connection": {
			&gate{started: true, rejected: true}, ServerError{Reason: fleet.ReasonServerFailed, Sent: true},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			checkError(t, tt.gate.failure("desk-1", other), &tt.want)
		})
	}
}

// TestEndMarkerReplacesLength guards against accepting a response without a length that no end marker ends.
func TestEndMarkerReplacesLength(t *testing.T) {
	const stream = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\ndata: [DONE]\n\n"
	tests := map[string]struct {
		answer    string
		endMarker bool
		accepted  bool
	}{
		"a stream with an end marker":    {stream, true, true},
		"a stream without an end marker": {stream, false, false},
		"no stream":                      {strings.Replace(stream, "event-stream", "plain", 1), true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			address, _ := newRawServer(t, tt.answer)
			c := &Client{}
			defer c.Close()
			a := attempt(address)
			a.EndMarker = tt.endMarker
			answer, err := c.Send(context.Background(), a)
			if (err == nil) != tt.accepted {
				t.Fatalf("error %v, want accepted %t", err, tt.accepted)
			}
			if err != nil {
				checkError(t, err, &ServerError{Reason: fleet.ReasonStreamBroken, Sent: true, Status: http.StatusOK})
				return
			}
			defer answer.Body.Close()
			if !answer.CloseDelimited {
				t.Error("the response does not say that the end of its connection ends it")
			}
		})
	}
}

// TestListens guards against a server that is taken for ended while it listens, or while the network alone shows nothing.
func TestListens(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := &Client{}
	if on, err := c.Listens(context.Background(), l.Addr().String()); !on || err != nil {
		t.Errorf("listens %t, %v, want true", on, err)
	}
	l.Close()
	if on, err := c.Listens(context.Background(), l.Addr().String()); on || err != nil {
		t.Errorf("after the end: listens %t, %v, want false and no error", on, err)
	}
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	if _, err := c.Listens(ended, l.Addr().String()); err == nil {
		t.Error("no error of a dial that shows nothing")
	}
}
