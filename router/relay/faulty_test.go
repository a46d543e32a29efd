package relay

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"mangolug.org/router/back"
)

// refuseTwice refuses the first request on a connection and, while it runs the second, writes the first refusal once more.
func refuseTwice(status string, ran *atomic.Int64) step {
	return func(_ *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
		refusal := "HTTP/1.1 " + status + "\r\n" + testID + ": " + r.Header.Get(testID) + "\r\n" + testNotRun + ": 1\r\nContent-Length: 0\r\n\r\n"
		c, buffer, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		writeAndFlush(buffer, refusal)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // a TCP connection supports deadlines
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return // the connection is not used again
		}
		ran.Add(1)
		writeAndFlush(buffer, refusal)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, _ = io.ReadFull(c, make([]byte, 1<<10)) // until the router leaves
	}
}

// TestRefusalWrittenAgain guards against a server's earlier refusal of a request, written again on a kept connection while the same request
// runs there, that its caller takes for a promise that it has not run (REFUSED, TWICE).
func TestRefusalWrittenAgain(t *testing.T) {
	for name, status := range map[string]string{"overloaded": "503 Service Unavailable", "too many": "429 Too Many Requests"} {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/", "/fixed/"} {
			t.Run(name+path, func(t *testing.T) {
				var ran atomic.Int64
				var steps []step
				for range 12 {
					steps = append(steps, refuseTwice(status, &ran))
				}
				w := newScript(t, steps...)
				w.relay.Client = &back.Client{Settings: back.Settings{NonIdempotentIdle: time.Minute}} // as a router's process sets it
				t.Cleanup(w.relay.Client.Close)
				for n := range 3 {
					before := ran.Load()
					a := w.do(t, http.MethodPost, path, "x", nil) // the same id each time
					if during := ran.Load() - before; during > 0 && a.status == http.StatusServiceUnavailable {
						t.Fatalf("request %d got %d, Retry-After %q, though %d servers ran it", n+1, a.status, a.header.Get("Retry-After"), during)
					}
				}
			})
		}
	}
}

// TestHeadsCutAtEachByte guards against an answer that looks whole though its server stopped in the middle of its head (MIXED, ORDER).
func TestHeadsCutAtEachByte(t *testing.T) {
	const begin = "HTTP/1.1 200 OK\r\n" + testID + ": id-1\r\n" + testSigned + ": yes\r\n"
	for name, d := range map[string]struct{ path, head string }{
		"length":        {"/safe/", begin + "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\n"},
		"length, once":  {"/unsafe/", begin + "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\n"},
		"chunks":        {"/safe/", begin + "Transfer-Encoding: chunked\r\n\r\n"},
		"stream":        {"/fixed/", begin + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"},
		"interim heads": {"/safe/", "HTTP/1.1 103 Early Hints\r\n\r\n" + begin + "Content-Length: 6\r\n\r\n"},
	} {
		for cut := range len(d.head) + 1 {
			t.Run(fmt.Sprintf("%s, byte %d", name, cut), func(t *testing.T) {
				w := newFixture(t, rawAnswer(d.head[:cut]))
				a := w.do(t, http.MethodPost, d.path, "x", nil)
				if a.err == nil && (a.status < 400 || a.status == http.StatusServiceUnavailable) {
					t.Errorf("got %d %q as a whole answer", a.status, a.body)
				}
			})
		}
	}
}

// rawAnswer writes a text in place of an answer and closes the connection.
func rawAnswer(text string) step {
	return func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		c, buffer, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		writeAndFlush(buffer, text)
	}
}

// TestErrorsBehindEventsOfOldCaller guards against the text of a later server's error in the middle of a stream of an HTTP/1.0 caller, and against
// an end of that stream in order (ORDER, MIXED).
func TestErrorsBehindEventsOfOldCaller(t *testing.T) {
	for name, answer := range map[string]step{
		"own failure":     plainAnswer(http.StatusInternalServerError, "text/plain", "mishap"),
		"an error stream": plainAnswer(http.StatusBadGateway, "text/event-stream", "id: 3\ndata: mishap\n\n"),
		"plain success":   plainAnswer(http.StatusOK, "text/plain", "mishap"),
		"cut head":        rawAnswer("HTTP/1.1 500 mishap\r\n" + testID + ": id-1\r\nContent-Le"),
		"no head":         rawAnswer("mishap mishap mishap\r\n\r\n"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newScript(t, cutAfter(1, 2), answer, answer, answer)
			c := w.dial(t)
			_ = c.SetDeadline(time.Now().Add(5 * time.Second)) // a TCP connection supports deadlines
			if _, err := io.WriteString(c, "POST /stream/ HTTP/1.0\r\nHost: h\r\n"+testID+": id-1\r\nContent-Length: 1\r\n\r\nx"); err != nil {
				t.Fatal(err)
			}
			text, err := io.ReadAll(c)
			if !errors.Is(err, syscall.ECONNRESET) || strings.Contains(string(text), "mishap") {
				t.Errorf("read %q, %v, want two events at most and a reset connection", text, err)
			}
		})
	}
}
