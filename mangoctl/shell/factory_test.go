package shell

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"mangolug.org/core/head"
	"mangolug.org/mangoctl/stream"
)

// TestMalformedHead guards against an answer with a status or the name of a field that no answer has and that a command shows as a router's.
func TestMalformedHead(t *testing.T) {
	for name, text := range map[string]string{"status 000": "HTTP/1.1 000 OK\r\n", "a blank in a name": "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n"} {
		t.Run(name, func(t *testing.T) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, buffer, err := w.(http.Hijacker).Hijack()
				if err != nil {
					panic(err)
				}
				defer c.Close()
				_, _ = buffer.WriteString(text + "Content-Length: 2\r\n\r\n{}")
				_ = buffer.Flush() // fails only if the client has left
			}))
			defer s.Close()
			answer, err := New(&stream.Streams{}).HTTP.Get(s.URL)
			var malformed *head.Error
			if !errors.As(err, &malformed) {
				t.Errorf("answer %v, %v, want a *head.Error", answer, err)
			}
		})
	}
}
