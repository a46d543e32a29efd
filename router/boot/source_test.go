package boot

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
)

func TestPlatformIsReadFromSource(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		host, _, _ := net.SplitHostPort(r.RemoteAddr)
		_, _ = io.WriteString(w, host)
	}))
	defer server.Close()
	cases := map[string]struct{ source, want string }{
		"own address": {"127.0.0.9", "127.0.0.9"},
		"any address": {"", "127.0.0.1"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			r := &Router{settings: &Settings{Platform: server.URL, Source: c.source}}
			answer, err := r.platform().HTTP.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			if text, err := io.ReadAll(answer.Body); err != nil || string(text) != c.want {
				t.Errorf("read from %q, want %s, %v", text, c.want, err)
			}
		})
	}
}
