package plat

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
	"mangolug.org/core/fleet"
)

// serve returns a client of a test server with the given handler.
func serve(t *testing.T, handle http.HandlerFunc) *Client {
	t.Helper()
	server := httptest.NewServer(handle)
	t.Cleanup(server.Close)
	return &Client{Base: server.URL + "/", HTTP: server.Client()}
}

func TestRules(t *testing.T) {
	full := strings.Repeat("x", MaxValue)
	tests := map[string]struct {
		status  int
		version string
		body    string
		after   string // Retry-After
		want    uint64
		changed bool
		check   func(err error) bool
	}{
		"changed":       {status: 200, version: "7", body: "text", want: 7, changed: true},
		"largest value": {status: 200, version: "7", body: full, want: 7, changed: true},
		"not changed":   {status: 304},
		"oversized":     {status: 200, version: "7", body: full + "x", check: isTooLarge},
		"no version":    {status: 200, body: "text", check: isContent},
		"version 0":     {status: 200, version: "0", body: "text", check: isContent},
		"too many requests": {status: 429, after: "3", check: func(err error) bool {
			var status *StatusError
			return errors.As(err, &status) && status.Status == 429 && status.RetryAfter == 3*time.Second
		}},
		"server error": {status: 500, check: func(err error) bool {
			var status *StatusError
			return errors.As(err, &status) && status.Status == 500
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var requestURL string
			client := serve(t, func(w http.ResponseWriter, r *http.Request) {
				requestURL = r.URL.String()
				for name, value := range map[string]string{"Config-Version": tt.version, "Retry-After": tt.after} {
					if value != "" {
						w.Header().Set(name, value)
					}
				}
				w.WriteHeader(tt.status)
				_, _ = w.Write([]byte(tt.body))
			})
			version, text, changed, err := client.Rules(t.Context(), 6, 1500*time.Millisecond)
			if requestURL != "/v1/config/rules?after=6&wait=1500" {
				t.Errorf("unexpected request URL %s", requestURL)
			}
			if tt.check != nil {
				if !tt.check(err) || changed {
					t.Errorf("changed %v, error %v", changed, err)
				}
				return
			}
			if err != nil || version != tt.want || changed != tt.changed || changed && string(text) != tt.body {
				t.Errorf("version %d, changed %v, %d bytes, error %v", version, changed, len(text), err)
			}
		})
	}
}

func isTooLarge(err error) bool {
	var large *TooLargeError
	return errors.As(err, &large)
}

func isContent(err error) bool {
	var content *ContentError
	return errors.As(err, &content)
}

func TestRulesCutShort(t *testing.T) {
	client := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Config-Version", "7")
		w.Header().Set("Content-Length", "100")
		_, _ = w.Write([]byte("half"))
	})
	if _, _, changed, err := client.Rules(t.Context(), 0, 0); err == nil || changed {
		t.Errorf("changed %v, error %v", changed, err)
	}
}

func TestPlatformDown(t *testing.T) {
	client := serve(t, func(http.ResponseWriter, *http.Request) {})
	client.Base = "http://127.0.0.1:1"
	if _, _, _, err := client.Rules(t.Context(), 0, 0); err == nil {
		t.Error("no error from a closed port")
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := client.VMs(ctx); !errors.Is(err, context.Canceled) {
		t.Errorf("error %v", err)
	}
}

func TestVMs(t *testing.T) {
	tests := map[string]struct {
		body  string
		want  []fleet.VM
		check func(err error) bool
	}{
		"list": {
			body: `{"vms":[{"name":"r1","address":"127.0.0.1:7001","admin":"127.0.0.1:7101","dataCentre":"clew","router":true,"state":"live"},
				{"name":"pool-1","address":"127.0.0.1:9201","dataCentre":"clew","router":false,"state":"leaving"}]}`,
			want: []fleet.VM{
				{Name: "r1", Address: "127.0.0.1:7001", Admin: "127.0.0.1:7101", DataCentre: "clew", Router: true},
				{Name: "pool-1", Address: "127.0.0.1:9201", DataCentre: "clew", State: fleet.VMLeaving},
			},
		},
		"empty":         {body: `{"vms":[]}`, want: []fleet.VM{}},
		"no JSON":       {body: "<html>", check: isContent},
		"unknown state": {body: `{"vms":[{"name":"r1","state":"asleep"}]}`, check: isContent},
		"no name":       {body: `{"vms":[{"state":"live"}]}`, check: isContent},
		"oversized":     {body: strings.Repeat(" ", MaxList+1), check: isTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			client := serve(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(tt.body)) })
			got, err := client.VMs(t.Context())
			if tt.check != nil {
				if !tt.check(err) {
					t.Errorf("error %v", err)
				}
				return
			}
			if diff := cmp.Diff(tt.want, got); diff != "" || err != nil {
				t.Errorf("error %v: %s", err, diff)
			}
		})
	}
}
