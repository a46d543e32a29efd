package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
)

// BenchmarkStream passes short streams on, with the lines that a router logs of each.
func BenchmarkStream(b *testing.B) {
	for name, path := range map[string]string{"kept connections": "/stream/a", "a connection each": "/fixed/a"} {
		b.Run(name, func(b *testing.B) {
			w := newWorld(b, func(_ *world, _ int, rw http.ResponseWriter, _ *http.Request) { events(rw, 1, 6) })
			w.relay.Log = log.NewWithOptions(io.Discard, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true})
			body := strings.Repeat("x", 900)
			for b.Loop() {
				if a := w.ask(b, http.MethodPost, path, body, nil); a.err != nil || a.status != http.StatusOK {
					b.Fatal(a.status, a.err)
				}
			}
		})
	}
}
