package pool

import (
	"testing"
	"time"

	"mangolug.org/core/digest"
)

// TestRequestWithoutPromptSize guards against limiting requests to a model service whose callers don't tell the size of the prompt by
// what plain requests would take.
func TestRequestWithoutPromptSize(t *testing.T) {
	p := newPool(2)
	for i := range 2000 {
		now := time.Duration(i) * 10 * time.Millisecond
		if i%10 == 0 {
			p.SetPeers(now, digest.Sum{Servers: map[uint32]digest.Use{nameID(firstDemand + "chat"): {Requests: 1e9}, nameID(endedDemand + "chat"): {Requests: 10000}}}, true, make([]string, 9))
		}
		a := chatRequest(now, i, 7)
		a.PromptTokens, a.Segments = 0, nil
		v, decided := p.Admit(now, a)
		if !decided || v.Run == nil {
			t.Fatalf("request %d: decided %t, reason %s", i, decided, v.Reason)
		}
		p.Ended(now, v.Run, Result{})
	}
}
