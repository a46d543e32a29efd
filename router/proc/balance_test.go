package proc

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/even"
	"mangolug.org/core/pool"
)

// TestUnevenIsLoggedOncePerPeriod guards against a log line per second and service while load is uneven.
func TestUnevenIsLoggedOncePerPeriod(t *testing.T) {
	registry := metrics.NewRegistry()
	uneven := []pool.ServiceBalance{
		{Service: "a", Imbalance: even.Imbalance{Percent: 250, Overload: true}},
		{Service: "b", Imbalance: even.Imbalance{Percent: 300, Overload: true}},
		{Service: "c", Imbalance: even.Imbalance{Percent: 900}},
		{Service: "idle"},
	}
	var l balanceLog
	lines := 0
	for second := range 30 {
		b, due := l.observe(time.Duration(second)*time.Second, uneven, registry)
		if due {
			lines++
		}
		if b.Service != "b" {
			t.Fatalf("service %q, want b", b.Service)
		}
	}
	if lines != 3 {
		t.Errorf("%d lines in 30 s, want 3", lines)
	}
	if _, due := l.observe(time.Hour, uneven[2:], registry); due {
		t.Error("a line without an overloaded server")
	}
	h, ok := registry.Get("imbalancePercent").(metrics.Histogram)
	if !ok || h.Count() != 91 || h.Max() != 900 {
		t.Errorf("histogram %v", h)
	}
}
