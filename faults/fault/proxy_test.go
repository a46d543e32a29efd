package fault

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

const testLimit = 5 * time.Second

// echoLines starts a target that answers each line with itself, and a proxy before it.
func echoLines(t *testing.T) (*Proxy, string) {
	t.Helper()
	target, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = target.Close() })
	go func() {
		for {
			c, err := target.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	proxy := &Proxy{}
	t.Cleanup(proxy.Close)
	if err := proxy.Open(Link{Name: "echo", Listen: "127.0.0.1:0", Target: target.Addr().String()}); err != nil {
		t.Fatal(err)
	}
	return proxy, proxy.listeners[0].Addr().String()
}

func dial(t *testing.T, source, address string) net.Conn {
	t.Helper()
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: testLimit}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(testLimit))
	return c
}

// askOnce asks over a connection of its own; a connection that is reset at once gives no answer.
func askOnce(source, address, line string) string {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}, Timeout: testLimit}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(testLimit))
	return ask(c, line)
}

// ask sends a line and gives what came back before the connection ended or the line was whole.
func ask(c net.Conn, line string) string {
	if _, err := fmt.Fprintln(c, line); err != nil {
		return ""
	}
	got, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSuffix(got, "\n")
}

func TestRules(t *testing.T) {
	tests := map[string]struct {
		rule Rule
		want string
	}{
		"none":             {Rule{}, "one two three"},
		"delay":            {Rule{DelayMillis: 20}, "one two three"},
		"reset after":      {Rule{ResetAnswers: 5}, "one t"},
		"reset at text":    {Rule{ResetAt: "two"}, "one "},
		"reset at offset":  {Rule{ResetAt: "two", ResetOffset: 2}, "one tw"},
		"reset at later":   {Rule{ResetAt: "o", ResetSkip: 1}, "one tw"},
		"close in order":   {Rule{ResetAt: "three", Close: true}, "one two "},
		"request cut":      {Rule{ResetRequests: 3}, ""},
		"trickle":          {Rule{TrickleBytes: 4, TrickleMillis: 1}, "one two three"},
		"cut":              {Rule{Cut: true}, ""},
		"another source":   {Rule{Source: "127.0.3.3", Cut: true}, "one two three"},
		"same source":      {Rule{Source: "127.0.3.1", Cut: true}, ""},
		"another link":     {Rule{Link: "other", Cut: true}, "one two three"},
		"text that is not": {Rule{ResetAt: "three four"}, "one two three"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			proxy, address := echoLines(t)
			proxy.Set(tt.rule)
			got := askOnce("127.0.3.1", address, "one two three")
			if tt.rule.ResetRequests > 0 && len(got) <= int(tt.rule.ResetRequests) {
				got = "" // what was sent before the reset may have come back
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestHeldBytesArriveLater(t *testing.T) {
	for name, rule := range map[string]Rule{"answers": {HoldAnswers: true}, "requests": {HoldRequests: true}} {
		t.Run(name, func(t *testing.T) {
			proxy, address := echoLines(t)
			c := dial(t, "127.0.3.1", address)
			if got := ask(c, "before"); got != "before" {
				t.Fatalf("before the rule: %q", got)
			}
			proxy.Set(rule)
			if _, err := fmt.Fprintln(c, "held"); err != nil {
				t.Fatal(err)
			}
			_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			if n, err := c.Read(make([]byte, 1)); err == nil {
				t.Fatalf("%d bytes passed", n)
			}
			_ = c.SetReadDeadline(time.Now().Add(testLimit))
			proxy.Clear("")
			if got, _ := bufio.NewReader(c).ReadString('\n'); got != "held\n" {
				t.Errorf("after the rule: %q", got)
			}
		})
	}
}

func TestHalfOpenStaysDead(t *testing.T) {
	proxy, address := echoLines(t)
	c := dial(t, "127.0.3.1", address)
	ask(c, "before")
	proxy.Set(Rule{HalfOpen: true})
	proxy.Clear("")
	_ = c.SetDeadline(time.Now().Add(100 * time.Millisecond))
	if got := ask(c, "dead"); got != "" {
		t.Errorf("a half-open connection answered %q", got)
	}
	if got := ask(dial(t, "127.0.3.1", address), "new"); got != "new" {
		t.Errorf("a new connection answered %q", got)
	}
}

func TestTimesEndsTheRule(t *testing.T) {
	proxy, address := echoLines(t)
	proxy.Set(Rule{ResetAnswers: 2, Times: 1})
	if got := ask(dial(t, "127.0.3.1", address), "line"); got != "li" {
		t.Errorf("first: %q", got)
	}
	if got := ask(dial(t, "127.0.3.1", address), "line"); got != "line" {
		t.Errorf("second: %q", got)
	}
}

func TestSwapCrossesAnswers(t *testing.T) {
	proxy, address := echoLines(t)
	proxy.Set(Rule{Swap: true})
	got := make(chan string, 2)
	for _, line := range []string{"mine", "yours"} {
		c := dial(t, "127.0.3.1", address)
		go func() { got <- line + " " + ask(c, line) }()
	}
	answers := map[string]bool{<-got: true, <-got: true}
	if diff := cmp.Diff(map[string]bool{"mine yours": true, "yours mine": true}, answers); diff != "" {
		t.Error(diff)
	}
}

// Guards against two answers that come at the same moment and wait for each other for ever.
func TestSwapAtTheSameMoment(t *testing.T) {
	const rounds = 20000
	rule := &active{held: make(chan exchange, 1)}
	for range rounds {
		got := make(chan bool, 2)
		for range 2 {
			u := &pump{conn: &conn{ended: make(chan struct{})}}
			go func() {
				_, ok := u.swap(rule, []byte("x"))
				got <- ok
			}()
		}
		for range 2 {
			select {
			case <-got:
			case <-time.After(testLimit):
				t.Fatal("both answers wait")
			}
		}
	}
}

func TestControl(t *testing.T) {
	proxy, address := echoLines(t)
	server := httptest.NewServer(proxy.Handler())
	defer server.Close()
	send := func(method, path, body string) int {
		ctx, cancel := context.WithTimeout(t.Context(), testLimit)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, method, server.URL+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		return response.StatusCode
	}
	if status := send("PUT", "/control/rules", `{"link":"echo","cut":true}`); status != http.StatusOK {
		t.Errorf("a rule got status %d", status)
	}
	if got := askOnce("127.0.3.1", address, "line"); got != "" {
		t.Error("the rule is not in force")
	}
	if status := send("PUT", "/control/rules", `{"cutt":true}`); status != http.StatusBadRequest {
		t.Errorf("a misspelt rule got status %d", status)
	}
	send("DELETE", "/control/rules", "")
	if got := ask(dial(t, "127.0.3.1", address), "line"); got != "line" {
		t.Errorf("after the rule: %q", got)
	}
}
