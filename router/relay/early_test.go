package relay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangolug.org/core/route"
)

// uploadBytes is more than the system's buffers of a connection hold.
const uploadBytes = 12 << 20

// listenEarly starts a server that passes each request to answer once it has read the head, and answers health checks in order.
func listenEarly(t *testing.T, start int64, answer func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return // the test has ended
			}
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				switch {
				case err != nil:
				case r.URL.Path == testHealthPath:
					writeText(c, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", testStart, start))
				default:
					answer(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// newEarlyFixture is a relay that takes uploads, before one server of listenEarly.
func newEarlyFixture(t *testing.T, answer func(c *net.TCPConn, r *http.Request)) *fixture {
	t.Helper()
	const start = 77
	w := newScript(t)
	config := testConfig()
	config.Limits.BodyBytes = 2 * uploadBytes
	for i := range config.Routes {
		config.Routes[i].Timeout = 10 * time.Second
	}
	w.table.Store(route.NewTable(config))
	w.replaceServers("s0", listenEarly(t, start, answer), start)
	return w
}

// earlyHead is the head of a signed answer without its last lines; the first two are the protocol's version and the status.
const earlyHead = "%s %s\r\n" + testID + ": id-1\r\n" + testSigned + ": yes\r\n"

// TestPartOfAnswerBeforeUploadEnds guards against a part of an answer that passes as whole: its server answers before it has read the request and resets the
// connection, and the system tells the reset to the writer of the request, so that the reader sees an end in order (MIXED, ORDER).
func TestPartOfAnswerBeforeUploadEnds(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	for name, head := range map[string]string{
		"kept":        fmt.Sprintf(earlyHead, "HTTP/1.1", "200 OK") + "\r\n",
		"close":       fmt.Sprintf(earlyHead, "HTTP/1.1", "200 OK") + "Connection: close\r\n\r\n",
		"HTTP/1.0":    fmt.Sprintf(earlyHead, "HTTP/1.0", "200 OK") + "\r\n",
		"stream":      fmt.Sprintf(earlyHead, "HTTP/1.1", "200 OK") + "Content-Type: text/event-stream\r\n\r\n",
		"its failure": fmt.Sprintf(earlyHead, "HTTP/1.1", "404 Not Found") + "\r\n",
	} {
		for _, wait := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 200 * time.Millisecond} {
			for _, path := range []string{"/unsafe/", "/safe/", "/fixed/"} {
				t.Run(fmt.Sprint(name, path, wait), func(t *testing.T) {
					t.Parallel()
					w := newEarlyFixture(t, func(c *net.TCPConn, _ *http.Request) {
						writeText(c, head+"id: 1\ndata: event 1\n\n")
						time.Sleep(wait)
						_ = c.SetLinger(0) // the connection is open
						_ = c.Close()
					})
					for range 3 {
						if a := w.do(t, http.MethodPost, path, upload, nil); a.err == nil && (a.status == http.StatusOK || a.status == http.StatusNotFound) {
							t.Fatalf("got %d %q as a whole answer", a.status, a.body)
						}
					}
				})
			}
		}
	}
}

// TestAnswersToUploads guards against answers that are whole and are refused: with a length before the server has read the request, or by the end of the
// connection after it has.
func TestAnswersToUploads(t *testing.T) {
	upload := strings.Repeat("x", uploadBytes)
	head := fmt.Sprintf(earlyHead, "HTTP/1.1", "200 OK")
	for name, d := range map[string]struct {
		body   string
		answer func(c *net.TCPConn, r *http.Request)
	}{
		"a length, before the upload ends": {upload, func(c *net.TCPConn, r *http.Request) {
			writeText(c, head+"Content-Length: 5\r\n\r\nwhole")
			_, _ = io.Copy(io.Discard, r.Body) // fails once the relay has the answer
		}},
		"the end of the connection, after the upload": {upload, func(c *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			writeText(c, head+"\r\nwhole")
		}},
		"the end of the connection, at once after a short request": {"x", func(c *net.TCPConn, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			writeText(c, head+"\r\nwhole")
		}},
		"the end of the connection, without a body": {"", func(c *net.TCPConn, _ *http.Request) { writeText(c, head+"\r\nwhole") }},
	} {
		t.Run(name, func(t *testing.T) {
			w := newEarlyFixture(t, d.answer)
			for range 5 {
				if a := w.do(t, http.MethodPost, "/unsafe/", d.body, nil); a.err != nil || a.status != http.StatusOK || a.body != "whole" {
					t.Fatalf("got %d %q, %v", a.status, a.body, a.err)
				}
			}
		})
	}
}
