package front

import (
	"bufio"
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/conf"
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
	"mangolug.org/router/back"
)

const (
	testKey  = "joiners-key"
	waitTime = 10 * time.Second
)

// hang, at the end of an answer, keeps the connection open until the router closes it.
const hang = "HANG"

// backend sends its nth text in answer to the nth request, with ID replaced by the attempt ID, and closes the connection.
type backend struct {
	address string

	mutex    sync.Mutex
	requests []string // method and target
	bodies   []string
	headers  []http.Header
	arrived  chan struct{}
	gone     chan struct{} // the router closed a hanging connection
}

func newBackend(t *testing.T, answers ...string) *backend {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	b := &backend{address: l.Addr().String(), arrived: make(chan struct{}, 100), gone: make(chan struct{}, 100)}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c, answers)
		}
	}()
	return b
}

func (b *backend) serve(c net.Conn, answers []string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	r, err := http.ReadRequest(reader)
	if err != nil {
		return
	}
	body, _ := io.ReadAll(r.Body)
	b.mutex.Lock()
	n := len(b.requests)
	b.requests = append(b.requests, r.Method+" "+r.RequestURI)
	b.bodies = append(b.bodies, string(body))
	b.headers = append(b.headers, r.Header)
	b.mutex.Unlock()
	b.arrived <- struct{}{}
	answer := answers[min(n, len(answers)-1)]
	answer, hangs := strings.CutSuffix(answer, hang)
	answer = strings.Replace(answer, "\r\n", "\r\nConnection: close\r\n", 1) // without it the router might reuse the connection for its next attempt
	_, _ = io.WriteString(c, strings.ReplaceAll(answer, "ID", r.Header.Get(back.HeaderAttempt)))
	if hangs {
		_, _ = reader.ReadByte()
		b.gone <- struct{}{}
	}
}

func (b *backend) requestsSeen() []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return append([]string{}, b.requests...)
}

// bench connects a caller, a Front and a backend, with scripted verdicts in place of the control goroutine.
type bench struct {
	front   *Front
	server  *httptest.Server
	backend *backend
	begun   time.Time

	mutex    sync.Mutex
	script   []fleet.Reason // verdicts in order; then all requests are granted
	admitted []entry.Request
	ends     []string
	closes   []string
	opens    []fleet.KeyAnswer // answers of the key's home in order; then all calls may run
	rules    *conf.InForce
	progress int
	ended    chan struct{}
}

func newBench(t *testing.T, answers ...string) *bench {
	t.Helper()
	b := &bench{backend: newBackend(t, answers...), begun: time.Now(), ended: make(chan struct{}, 100)}
	b.rules = testRules(b.backend.address)
	b.front = &Front{
		Self: "router-1", Rules: func() *conf.InForce { return b.rules }, Clock: func() time.Duration { return time.Since(b.begun) },
		Admit: b.admit, Finish: b.finish, OpenKey: b.openKey, CloseKey: b.closeKey, Metrics: metrics.NewRegistry(),
		Progress: func(entry.Verdict, int64) {
			b.mutex.Lock()
			defer b.mutex.Unlock()
			b.progress++
		},
	}
	return b
}

// start starts the HTTP server. Settings must be changed before.
func (b *bench) start(t *testing.T) {
	b.server = httptest.NewUnstartedServer(nil)
	b.server.Config = b.front.Server()
	b.server.Config.ErrorLog = nil
	b.server.Start()
	t.Cleanup(b.server.Close)
}

func testRules(address string) *conf.InForce {
	team := &rule.Team{Name: "joiners", Share: 10, KeyDigest: sha256.Sum256([]byte(testKey))}
	desk := &rule.Product{Name: "swatch-desk", Kind: rule.KindPlain, NonIdempotent: []rule.Call{{Method: "POST", Path: "/dispatches"}}}
	model := &rule.Product{Name: "stain-llm", Kind: rule.KindModel}
	servers := func(name string) []rule.Server {
		return []rule.Server{{Name: "server-1", Product: name, DataCentre: "lahore", Address: address}}
	}
	return &conf.InForce{
		Version:        1,
		TeamsByKey:     map[[32]byte]*rule.Team{team.KeyDigest: team},
		Products:       map[string]*rule.Product{desk.Name: desk, model.Name: model},
		Servers:        map[string][]rule.Server{desk.Name: servers(desk.Name), model.Name: servers(model.Name)},
		DataCentresOut: map[string]bool{},
	}
}

func (b *bench) admit(ctx context.Context, q entry.Request) entry.Verdict {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.admitted = append(b.admitted, q)
	reason := fleet.ReasonGranted
	if n := len(b.admitted) - 1; n < len(b.script) {
		reason = b.script[n]
	}
	v := entry.Verdict{Request: q.ID, Reason: reason, RetryAfter: 1500 * time.Millisecond}
	switch reason {
	case fleet.ReasonGrantExpired: // represents a grant that has already expired
		v.Reason = fleet.ReasonGranted
	case fleet.ReasonGranted:
		v.Expires = time.Hour
	}
	v.Grant = fleet.Grant{ID: uint64(len(b.admitted)), Team: q.Team, Server: "server-1", Address: b.backend.address}
	if ctx.Err() != nil {
		v.Reason = fleet.ReasonCallerGone
	}
	return v
}

func (b *bench) finish(_ entry.Verdict, d fleet.Done) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	text := fmt.Sprintf("%d %s", d.Grant, d.Outcome)
	if d.Outcome == fleet.OutcomeCompleted && d.FirstByte == 0 {
		text += " without first byte"
	}
	b.ends = append(b.ends, text)
	b.ended <- struct{}{}
}

func (b *bench) openKey(context.Context, string, string, uint64) fleet.KeyAnswer {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.opens) == 0 {
		return fleet.KeyAnswer{Verdict: fleet.KeyRun, Reason: fleet.ReasonGranted}
	}
	a := b.opens[0]
	b.opens = b.opens[1:]
	return a
}

func (b *bench) closeKey(c fleet.KeyClose) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.closes = append(b.closes, fmt.Sprintf("%s %d %s", c.Outcome, c.Answer.Status, c.Answer.Body))
}

// wait waits up to waitTime for an event.
func wait(t *testing.T, what string, event <-chan struct{}) {
	t.Helper()
	select {
	case <-event:
	case <-time.After(waitTime):
		t.Fatalf("timed out waiting for %s", what)
	}
}

// do sends a request as the team and returns the answer and its body. BROKEN is appended to a truncated body.
func (b *bench) do(t *testing.T, method, path, body string, header http.Header) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, b.server.URL+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for name, values := range header {
		r.Header[name] = values
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return answer, string(text) + "BROKEN"
	}
	return answer, string(text)
}

func (b *bench) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, b.front.Metrics).Count()
}
