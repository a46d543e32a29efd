package relay

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/charmbracelet/log"
)

// BenchmarkStream relays short streams, including the log lines of each.
func BenchmarkStream(b *testing.B) {
	for name, path := range map[string]string{"kept connections": "/stream/a", "a connection each": "/fixed/a"} {
		b.Run(name, func(b *testing.B) {
			w := newFixture(b, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, 1, 6) })
			w.relay.Log = log.NewWithOptions(io.Discard, log.Options{Formatter: log.LogfmtFormatter, ReportTimestamp: true})
			body := strings.Repeat("x", 900)
			for b.Loop() {
				if a := w.do(b, http.MethodPost, path, body, nil); a.err != nil || a.status != http.StatusOK {
					b.Fatal(a.status, a.err)
				}
			}
		})
	}
}
