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
		"a fraction of firsts": {firsts: 200, wanted: 1, want: 25}, // the burst and a tenth of the firsts that follow
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var b budget
			taken := 0
			for range tt.firsts {
				b.first(0.1, 5)
				for range tt.wanted {
					if b.take() {
						taken++
					}
				}
			}
			if taken < tt.want-1 || taken > tt.want {
				t.Errorf("%d retries, want %d", taken, tt.want)
			}
		})
	}
}

func TestHabits(t *testing.T) {
	var l habits
	p := pair{"joiners", "stain-llm"}
	if cost, service := l.expect(p, 40); cost != 40 || service != 0 {
		t.Errorf("without experience: %d, %v", cost, service)
	}
	for range 100 {
		l.learn(p, 300, 2*time.Second)
	}
	if cost, service := l.expect(p, 40); cost != 300 || service != 2*time.Second {
		t.Errorf("with experience: %d, %v", cost, service)
	}
	for i := range 2 * learnEntries {
		l.learn(pair{fmt.Sprint(i), ""}, 1, 1)
	}
	if len(l.pairs) > learnEntries {
		t.Errorf("%d pairs kept", len(l.pairs))
	}
}

func TestAdmissionAsksForWhatIsLearnt(t *testing.T) {
	b := newBench(t, sse+chunks(true, one, one, last+marker))
	b.front.Settings.ProgressEvery = 1
	b.start(t)
	for range 2 {
		b.ask(t, "POST", "/v1/chat/completions", modelBody, nil)
		wait(t, "the end of a grant", b.ended)
	}
	b.server.Close()
	prompt := int64(len(`"walnut on ash"`))/bytesPerToken + 1
	got := []int64{b.admitted[0].Estimate, b.admitted[1].Estimate}
	if d := cmp.Diff([]int64{prompt + outputWeight*outputTokens, 5 + 2*7}, got); d != "" {
		t.Error(d)
	}
	if b.admitted[0].Prefix == 0 || b.admitted[0].Prefix != b.admitted[1].Prefix || b.admitted[0].Bytes != int64(len(modelBody)) {
		t.Errorf("admitted %+v", b.admitted)
	}
	if b.progress < 4 {
		t.Errorf("%d reports of costs so far", b.progress)
	}
}
