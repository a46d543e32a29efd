package front

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func TestBudget(t *testing.T) {
	tests := map[string]struct {
		firsts, wanted int
		want           int
	}{
		"the burst":            {firsts: 1, wanted: 50, want: 5},
		"a fraction of firsts": {firsts: 200, wanted: 1, want: 25}, // the burst and a tenth of the first attempts that follow
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var b retryBudget
			taken := 0
			for range tt.firsts {
				b.earn(0.1, 5)
				for range tt.wanted {
					if b.spend() {
						taken++
					}
				}
			}
			if taken < tt.want-1 || taken > tt.want {
				t.Errorf("got %d retries, want %d", taken, tt.want)
			}
		})
	}
}

func TestCostEstimates(t *testing.T) {
	var l costEstimates
	p := teamProduct{"joiners", "stain-llm"}
	if cost, service := l.estimate(p, 40); cost != 40 || service != 0 {
		t.Errorf("without observations: got cost %d, service time %v", cost, service)
	}
	for range 100 {
		l.observe(p, 300, 2*time.Second)
	}
	if cost, service := l.estimate(p, 40); cost != 300 || service != 2*time.Second {
		t.Errorf("after observations: got cost %d, service time %v", cost, service)
	}
	for i := range 2 * maxEstimates {
		l.observe(teamProduct{fmt.Sprint(i), ""}, 1, 1)
	}
	if len(l.averages) > maxEstimates {
		t.Errorf("%d averages kept, more than the limit", len(l.averages))
	}
}

func TestAdmissionUsesEstimates(t *testing.T) {
	b := newBench(t, sse+chunks(true, textEvent, textEvent, usageEvent+doneEvent))
	b.front.Settings.ProgressInterval = 1
	b.start(t)
	for range 2 {
		b.do(t, "POST", "/v1/chat/completions", modelBody, nil)
		wait(t, "the end of a grant", b.ended)
	}
	b.server.Close()
	prompt := int64(len(`"walnut on ash"`))/bytesPerToken + 1
	got := []int64{b.admitted[0].Estimate, b.admitted[1].Estimate}
	if d := cmp.Diff([]int64{prompt + outputTokenCost*defaultOutputTokens, 5 + 2*7}, got); d != "" {
		t.Error(d)
	}
	if b.admitted[0].Prefix == 0 || b.admitted[0].Prefix != b.admitted[1].Prefix || b.admitted[0].Bytes != int64(len(modelBody)) {
		t.Errorf("wrong prefix hash or size in admission requests %+v", b.admitted)
	}
	if b.progress < 4 {
		t.Errorf("got %d progress reports, want at least 4", b.progress)
	}
}
