package serve

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// read gives status, version and text; status 0 stands for a broken connection.
func read(t *testing.T, server *httptest.Server, query string) (int, string, string) {
	t.Helper()
	response, err := server.Client().Get(server.URL + "/v1/config/rules" + query)
	if err != nil {
		return 0, "", ""
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	return response.StatusCode, response.Header.Get(VersionHeader), string(text)
}

func TestServed(t *testing.T) {
	tests := map[string]struct {
		act    func(p *Platform)
		query  string
		status int
		text   string
	}{
		"newest":            {func(*Platform) {}, "", http.StatusOK, "two"},
		"nothing newer":     {func(*Platform) {}, "?after=2&wait=1", http.StatusNotModified, ""},
		"older":             {func(p *Platform) { p.Pin(1) }, "", http.StatusOK, "one"},
		"older to a watch":  {func(p *Platform) { p.Pin(1) }, "?after=2&wait=1", http.StatusNotModified, ""},
		"stale":             {func(p *Platform) { p.Freeze(); p.Publish([]byte("three"), 0) }, "", http.StatusOK, "two"},
		"stale ended":       {func(p *Platform) { p.Freeze(); p.Publish([]byte("three"), 0); p.Pin(0) }, "", http.StatusOK, "three"},
		"down":              {func(p *Platform) { p.SetDown("", true) }, "", 0, ""},
		"down for another":  {func(p *Platform) { p.SetDown("127.0.1.9", true) }, "", http.StatusOK, "two"},
		"down for this one": {func(p *Platform) { p.SetDown("127.0.0.1", true) }, "", 0, ""},
		"up again":          {func(p *Platform) { p.SetDown("", true); p.SetDown("", false) }, "", http.StatusOK, "two"},
		"version given":     {func(p *Platform) { p.Publish([]byte("nine"), 9) }, "?after=8", http.StatusOK, "nine"},
		"bad number":        {func(*Platform) {}, "?after=x", http.StatusBadRequest, "after is not a version number\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := &Platform{}
			p.Publish([]byte("one"), 0)
			p.Publish([]byte("two"), 0)
			tt.act(p)
			server := httptest.NewServer(p.Handler())
			defer server.Close()
			status, _, text := read(t, server, tt.query)
			if status != tt.status || text != tt.text {
				t.Errorf("got %d %q, want %d %q", status, text, tt.status, tt.text)
			}
		})
	}
}

func TestListDown(t *testing.T) {
	p := &Platform{}
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	for name, down := range map[string]bool{"up": false, "down": true} {
		p.SetListDown(down)
		p.SetDown("", !down)
		response, err := server.Client().Get(server.URL + "/v1/vms")
		if err == nil {
			_ = response.Body.Close()
		}
		if down != (err != nil) {
			t.Errorf("%s: error %v", name, err)
		}
	}
}

func TestWatchEndsAtPublish(t *testing.T) {
	p := &Platform{}
	p.Publish([]byte("one"), 0)
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	got := make(chan string, 1)
	go func() {
		_, version, text := read(t, server, "?after=1&wait=10000")
		got <- version + " " + text
	}()
	for counts := p.Counts(); counts.Total == 0; counts = p.Counts() {
		continue
	}
	p.Publish([]byte("two"), 0)
	if text := <-got; text != "2 two" {
		t.Errorf("the watch gave %q", text)
	}
	want := []Reader{{Address: "127.0.0.1", Watches: 1}}
	if diff := cmp.Diff(want, p.Counts().Readers); diff != "" {
		t.Error(diff)
	}
}

func TestReadLimit(t *testing.T) {
	p := &Platform{}
	handler := p.Handler()
	refused := 0
	for range 2*ReadsPerSecond + 1 {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/v1/vms", nil))
		if w.Code == http.StatusTooManyRequests {
			refused++
		}
	}
	counts := p.Counts()
	if counts.Refused != refused || counts.Total != 2*ReadsPerSecond+1 {
		t.Errorf("refused %d, counts %+v", refused, counts)
	}
	if counts.PeakSecond > ReadsPerSecond && refused == 0 {
		t.Errorf("%d reads in a second and none refused", counts.PeakSecond)
	}
}
