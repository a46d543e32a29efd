package pauses

import (
	"context"
	"testing"
	"time"
)

func TestFor(t *testing.T) {
	began := time.Now()
	Sleep(t.Context(), 20*time.Millisecond)
	if took := time.Since(began); took < 20*time.Millisecond {
		t.Errorf("waited only %v", took)
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	Sleep(ended, time.Hour) // if it sleeps past the end of the context, the test times out
}

// TestBackoff checks that with the default random source each pause is between half and all of its bound.
func TestBackoff(t *testing.T) {
	b := Backoff{Initial: 100, Max: 300}
	for _, most := range []time.Duration{100, 200, 300, 300} {
		if got := b.Next(); got < most/2 || got > most {
			t.Errorf("pause %d, want %d to %d", got, most/2, most)
		}
	}
	b.Reset()
	if got := b.Next(); got > 100 {
		t.Errorf("pause %d after a success, want at most 100", got)
	}
}
