package door

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// TestSideServesBesideIdleConnections guards against a port for probes that clients hold open with connections on which nothing comes, with kept ones, or
// with bodies that don't come.
func TestSideServesBesideIdleConnections(t *testing.T) {
	const probe = "GET / HTTP/1.1\r\nHost: router\r\n\r\n"
	for name, sent := range map[string]string{
		"nothing":    "",
		"kept":       probe,
		"part":       "GET / HT",
		"body":       "POST / HTTP/1.1\r\nHost: router\r\nContent-Length: 10\r\n\r\n",
		"large head": "GET / HTTP/1.1\r\nHost: router\r\nA: " + strings.Repeat("x", 64<<10),
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := NewSide(l.(*net.TCPListener), http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "ready") }))
			s.Limit = 8
			var full atomic.Int64
			s.OnFull = func() { full.Add(1) }
			ctx, stop := context.WithCancel(t.Context())
			served := make(chan error)
			go func() { served <- s.Serve(ctx) }()
			for range 4 * s.Limit {
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				_, _ = io.WriteString(c, sent) // the router may have closed the connection
			}
			waitUntil(t, func() bool { // the queue of connections before this one may be full of clients
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return false
				}
				defer c.Close()
				_ = c.SetDeadline(time.Now().Add(time.Second))
				if _, err := io.WriteString(c, probe); err != nil {
					return false
				}
				answer, err := http.ReadResponse(bufio.NewReader(c), nil)
				return err == nil && answer.StatusCode == http.StatusOK
			})
			if n := s.entrance.Conns.Count(); n > s.Limit {
				t.Errorf("%d connections, at most %d allowed", n, s.Limit)
			}
			stop()
			if err := <-served; err != nil {
				t.Error(err)
			}
		})
	}
}
