package pool

import (
	"testing"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
)

// TestRejectUnread guards against a request that is refused before its body is read although Admit would serve it or let it wait, and
// against one that counts twice as its team's demand.
func TestRejectUnread(t *testing.T) {
	far := Usage{Requests: 40, Prefill: 12000} // a backlog beyond the time that a request over its share may wait
	for name, c := range map[string]struct {
		demand, served float64 // of the request's team at other routers, in tokens per second
		plain          bool
		use            Usage // of the only server
		rejected       bool
		want           fleet.Reason // of Admit, for a request that is not rejected
	}{
		"within its share, busy server":  {use: far, want: fleet.ReasonNone},
		"over its share, free server":    {demand: 1e9, served: 100000, use: Usage{Requests: 40}, want: fleet.ReasonGranted},
		"over its share, busy server":    {demand: 1e9, served: 100000, use: far, rejected: true},
		"over its share, far better":     {demand: 1e9, served: 300000, use: Usage{Requests: 40}, rejected: true},
		"over its share, half empty":     {demand: 1e9, served: 100000, use: Usage{Requests: 20, Prefill: 12000}, want: fleet.ReasonGranted},
		"over its share, plain services": {demand: 1e9, served: 300000, plain: true, want: fleet.ReasonGranted},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPool(1)
			p.servers["s0"].localUsage = c.use
			mine, other := p.shares.team("t"), p.shares.team("u")
			mine.peerDemand, mine.peerServed = c.demand, c.served
			other.peerDemand, other.peerServed = 1e9, 100000
			a := chatRequest(time.Second, 1, 7)
			if c.plain {
				a.PromptTokens, a.OutputTokens, a.Segments = 0, 0, nil
			}
			v, rejected := p.RejectUnread(time.Second, a)
			if rejected != c.rejected || rejected && (v.Reason != fleet.ReasonTeamShare || v.RetryAfter < minRetryAfter) {
				t.Errorf("rejected %t with %+v, want %t", rejected, v, c.rejected)
			}
			before := mine.localDemand.value
			if !rejected && !c.plain {
				p.Withdraw(time.Second, a) // its body did not come
				if got := mine.localDemand.value; got != 0 {
					t.Errorf("a request without its body counts as %.0f tokens per second, want 0", got)
				}
				mine.localDemand.value, a.observed = before, true
			}
			if !rejected {
				if v, _ := p.Admit(time.Second, a); v.Reason != c.want {
					t.Errorf("reason %s of Admit, want %s", v.Reason, c.want)
				}
			}
			want := float64(a.cost()) / shareWindow.Seconds()
			if c.plain {
				want = 0
			}
			if got := mine.localDemand.value; got != want {
				t.Errorf("the team's demand is %.0f tokens per second, want %.0f", got, want)
			}
		})
	}
}

// TestDemandPart checks the demand at a router relative to an even part of the fleet's, with that of requests that were refused unread.
func TestDemandPart(t *testing.T) {
	p := newPool(1)
	if part := p.DemandPart(time.Second); part != 0 {
		t.Errorf("part %v without any demand, want 0", part)
	}
	p.CountShed(2*time.Second, chatRequest(2*time.Second, 1, 7))
	others := digest.Sum{Routers: 3, Teams: map[uint32]digest.Rates{nameID("t"): {Demand: chatRequest(0, 1, 7).cost()}}}
	p.SetPeers(2*time.Second, others, true, []string{"a", "b", "c"})
	if part := p.DemandPart(2 * time.Second); part < 1.99 || part > 2.01 {
		t.Errorf("part %v of a router with half of the demand of four, want 2", part)
	}
}
