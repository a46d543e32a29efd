package record

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"

	"mangolug.org/mangoctl/stream"
)

// runningTrace returns a trace as a router that still adds to it sends it, and its whole lines.
func runningTrace(t *testing.T) (compressed []byte, lines string) {
	t.Helper()
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	for n := range 100 {
		line := fmt.Sprintf("{\"line\":\"%x\"}\n", sha256.Sum256([]byte{byte(n)}))
		lines += line
		if _, err := z.Write([]byte(line)); err != nil {
			t.Fatal(err)
		}
		if err := z.Flush(); err != nil {
			t.Fatal(err)
		}
	}
	_, _ = z.Write([]byte("{\"line\":"))
	if err := z.Flush(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes(), lines
}

// TestCutTrace guards against a trace that was cut with its connection and is taken for a whole one.
func TestCutTrace(t *testing.T) {
	trace, lines := runningTrace(t)
	for name, tt := range map[string]struct {
		header string
		send   int // bytes
		whole  bool
	}{
		"whole":                     {"Content-Length: " + strconv.Itoa(len(trace)), len(trace), true},
		"cut":                       {"Content-Length: " + strconv.Itoa(len(trace)), len(trace) / 2, false},
		"neither length nor chunks": {"Connection: close", len(trace), false},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, buffer, err := w.(http.Hijacker).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/gzip\r\n" + tt.header + "\r\n\r\n")
				_, _ = buffer.Write(trace[:tt.send])
				_ = buffer.Flush()
				_ = c.(*net.TCPConn).Close()
			}))
			defer server.Close()
			streams, out, _ := stream.Test()
			o := &Options{Streams: streams, Get: server.Client().Get, Router: strings.TrimPrefix(server.URL, "http://")}
			if err := o.Execute(nil); (err == nil) != tt.whole {
				t.Errorf("error %v, want a whole trace %v", err, tt.whole)
			}
			if s := out.String(); s == "" || !strings.HasSuffix(s, "\n") || tt.whole && s != lines {
				t.Errorf("%d bytes written", len(s))
			}
		})
	}
}
