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
	for name, source := range map[string]string{"own address": "127.0.0.9", "any address": "127.0.0.1"} {
		t.Run(name, func(t *testing.T) {
			r := &Router{settings: &Settings{Platform: server.URL, Source: source}}
			if name == "any address" {
				r.settings.Source = ""
			}
			answer, err := r.platform().HTTP.Get(server.URL)
			if err != nil {
				t.Fatal(err)
			}
			defer answer.Body.Close()
			if text, err := io.ReadAll(answer.Body); err != nil || string(text) != source {
				t.Errorf("read from %q, want %s, %v", text, source, err)
			}
		})
	}
}
