package conf

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// validText returns a valid rule file that differs by version.
func validText(version uint64) []byte {
	return fmt.Appendf(nil, "dataCentre clew in # version %d\n", version)
}

// invalidText returns a rule file that is refused.
func invalidText(version uint64) []byte {
	return fmt.Appendf(nil, "datacentre clew in # version %d\n", version)
}

type offered struct {
	version uint64
	text    []byte
	want    Result
}

func TestOffer(t *testing.T) {
	tests := map[string]struct {
		offers  []offered
		version uint64
		refused uint64
		reason  string
	}{
		"first":             {offers: []offered{{3, validText(3), ResultAccepted}}, version: 3},
		"version 0":         {offers: []offered{{0, validText(0), ResultOutdated}}},
		"rising":            {offers: []offered{{3, validText(3), ResultAccepted}, {4, validText(4), ResultAccepted}}, version: 4},
		"older after newer": {offers: []offered{{4, validText(4), ResultAccepted}, {3, validText(3), ResultOutdated}}, version: 4},
		"same":              {offers: []offered{{4, validText(4), ResultAccepted}, {4, validText(4), ResultUnchanged}}, version: 4},
		"same version, other text": {
			offers: []offered{{4, validText(4), ResultAccepted}, {4, validText(5), ResultConflict}}, version: 4,
		},
		"bad between two good": {
			offers:  []offered{{4, validText(4), ResultAccepted}, {5, invalidText(5), ResultRefused}, {6, validText(6), ResultAccepted}},
			version: 6,
		},
		"bad first": {offers: []offered{{5, invalidText(5), ResultRefused}}, refused: 5, reason: "unknownWord"},
		"bad again": {
			offers:  []offered{{4, validText(4), ResultAccepted}, {5, invalidText(5), ResultRefused}, {5, invalidText(5), ResultRefused}},
			version: 4, refused: 5, reason: "unknownWord",
		},
		"refused version with other text": {
			offers:  []offered{{4, validText(4), ResultAccepted}, {5, invalidText(5), ResultRefused}, {5, validText(5), ResultConflict}},
			version: 4, refused: 5,
		},
		"good below a refused one": {
			offers:  []offered{{4, validText(4), ResultAccepted}, {6, invalidText(6), ResultRefused}, {5, validText(5), ResultAccepted}},
			version: 5, refused: 6,
		},
		"too large": {
			offers:  []offered{{4, []byte(strings.Repeat("#", MaxText+1)), ResultRefused}},
			refused: 4, reason: "bytes",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var k Keeper
			for i, o := range tt.offers {
				if got := k.Offer(0, o.version, o.text, ""); got != o.want {
					t.Errorf("offer %d: %v, want %v", i, got, o.want)
				}
			}
			refused, reason := k.Refused()
			if k.Version() != tt.version || refused != tt.refused || !strings.Contains(reason, tt.reason) {
				t.Errorf("in force %d, refused %d: %s", k.Version(), refused, reason)
			}
			if c := k.Current(); c != nil && c.Digest != digest(c.Text) {
				t.Errorf("digest %s does not match the text", c.Digest)
			}
		})
	}
}

// TestVersionsOnlyRise offers valid and invalid versions in random order, with loss and duplication.
func TestVersionsOnlyRise(t *testing.T) {
	for seed := range uint64(50) {
		r := rand.New(rand.NewPCG(seed, 2))
		var k Keeper
		var newest, last uint64
		for range 200 {
			version := 1 + r.Uint64N(40)
			good := version%5 != 0
			offer := invalidText(version)
			if good {
				offer = validText(version)
				newest = max(newest, version)
			}
			k.Offer(0, version, offer, "")
			if k.Version() < last || k.Version() != newest {
				t.Fatalf("seed %d: version %d in force after %d, newest valid version offered %d", seed, k.Version(), last, newest)
			}
			last = k.Version()
		}
	}
}

// TestRefusedIsNotParsedAgain bounds the allocations when a refused text is offered again.
func TestRefusedIsNotParsedAgain(t *testing.T) {
	var k Keeper
	large := []byte(strings.Repeat("team a share 0 key x\n", 20000))
	k.Offer(0, 7, large, "")
	allocs := testing.AllocsPerRun(3, func() { k.Offer(0, 7, large, "") })
	if allocs > 10 {
		t.Errorf("%v allocations to offer a refused text again, want at most 10", allocs)
	}
	if k.Counts.Refused < 2 {
		t.Errorf("counts %+v, want at least 2 refused", k.Counts)
	}
	k.SetPeerVersion(0, "r2", 7)
	if peer, version, ok := k.NextFetch(0); ok {
		t.Errorf("Want returned peer %s for the refused version %d", peer, version)
	}
}

func TestIndexes(t *testing.T) {
	var k Keeper
	k.Offer(0, 1, []byte("dataCentre clew out # a\ndataCentre bertra in # a\nproduct pool model # a\n"+
		"server p-1 product pool dataCentre clew address 127.0.0.1:1 limit 2 # a\n"+
		"team farm share 3 key sha256:"+strings.Repeat("ab", 32)+" # a\n"), "platform")
	c := k.Current()
	if c == nil {
		t.Fatal("configuration was refused")
	}
	var key [32]byte
	for i := range key {
		key[i] = 0xab
	}
	if diff := cmp.Diff(map[string]bool{"clew": true}, c.DataCentresOut); diff != "" {
		t.Errorf("data centres out of service differ (-want +got): %s", diff)
	}
	if c.TeamsByKey[key] == nil || c.TeamsByKey[key] != c.Teams["farm"] || len(c.Servers["pool"]) != 1 || c.Products["pool"] == nil {
		t.Errorf("indexes incomplete: %+v", c)
	}
}

func TestWant(t *testing.T) {
	const ms = time.Millisecond
	k := Keeper{Self: "r1"}
	k.Offer(0, 3, validText(3), "")
	k.SetPeerVersion(0, "r2", 3)
	if _, _, ok := k.NextFetch(0); ok {
		t.Fatal("Want returned a peer although no version is newer")
	}
	k.SetPeerVersion(0, "r2", 5)
	k.SetPeerVersion(0, "r3", 5)
	k.SetPeerVersion(0, "r4", 4)
	if peer, _, ok := k.NextFetch(ClaimTTL + ms); ok {
		t.Fatalf("Want returned %s, whose claim is stale", peer)
	}
	first, version, ok := k.NextFetch(0)
	if !ok || version != 5 || first == "r4" {
		t.Fatalf("Want returned %q for version %d, want r2 or r3 for version 5", first, version)
	}
	if peer, _, again := k.NextFetch(FetchTimeout - ms); again {
		t.Fatalf("Want returned %s while the first fetch is in progress", peer)
	}
	second, _, ok := k.NextFetch(FetchTimeout)
	if !ok || second == first || second == "r4" {
		t.Fatalf("Want returned %q after a fetch from %q timed out", second, first)
	}
	k.RemovePeer(second)
	third, version, ok := k.NextFetch(FetchTimeout + ms)
	if !ok || third != "r4" || version != 4 {
		t.Fatalf("Want returned %q for version %d, want r4 for version 4", third, version)
	}
	if got := k.Offer(FetchTimeout+2*ms, 5, validText(5), third); got != ResultAccepted {
		t.Fatalf("offer: %v, want accepted", got)
	}
	if peer, _, ok := k.NextFetch(time.Minute); ok {
		t.Fatalf("Want returned %s although the newest version is in force", peer)
	}
}

// TestAskersSpread requires that routers spread their fetches over the peers that have a version.
func TestAskersSpread(t *testing.T) {
	asked := map[string]int{}
	for i := range 90 {
		k := Keeper{Self: fmt.Sprintf("asker-%d", i)}
		for j := range 3 {
			k.SetPeerVersion(0, fmt.Sprintf("r%d", j), 8)
		}
		peer, _, _ := k.NextFetch(0)
		asked[peer]++
	}
	for peer, n := range asked {
		if n > 60 || len(asked) != 3 {
			t.Errorf("%s is asked by %d of 90 routers, want at most 60; all: %v", peer, n, asked)
		}
	}
}

func TestSettled(t *testing.T) {
	tests := map[string]struct {
		prepare func(k *Keeper)
		now     time.Duration
		want    bool
	}{
		"nothing in force":       {prepare: func(k *Keeper) { k.current = nil; k.PlatformAnswered() }, now: time.Hour},
		"platform not asked":     {prepare: func(k *Keeper) { k.SetPeerVersion(0, "r2", 3) }},
		"platform and peers":     {prepare: func(k *Keeper) { k.PlatformAnswered(); k.SetPeerVersion(0, "r2", 3) }, want: true},
		"a peer is silent":       {prepare: func(k *Keeper) { k.PlatformAnswered() }},
		"a peer stays silent":    {prepare: func(k *Keeper) { k.PlatformAnswered() }, now: SettleTimeout, want: true},
		"a peer has a newer one": {prepare: func(k *Keeper) { k.PlatformAnswered(); k.SetPeerVersion(time.Hour, "r2", 4) }, now: time.Hour},
		"a peer has one refused here": {
			prepare: func(k *Keeper) { k.PlatformAnswered(); k.Offer(0, 4, invalidText(4), ""); k.SetPeerVersion(0, "r2", 4) }, want: true,
		},
		"the peer with a newer one fell silent": {
			prepare: func(k *Keeper) { k.PlatformAnswered(); k.SetPeerVersion(0, "r2", 4) }, now: SettleTimeout,
		},
		"the peer with a newer one stays silent": {
			prepare: func(k *Keeper) { k.PlatformAnswered(); k.SetPeerVersion(0, "r2", 4) }, now: SilentPeerTimeout + time.Millisecond, want: true,
		},
		"the peer with a newer one is silent, the version came": {
			prepare: func(k *Keeper) { k.PlatformAnswered(); k.SetPeerVersion(0, "r2", 4); k.Offer(0, 4, validText(4), "r3") }, want: true,
		},
		"peers known late": {prepare: func(k *Keeper) { k.PlatformAnswered(); k.StartSettling(time.Minute) }, now: time.Minute + SettleTimeout - 1},
		"peers known late stay silent": {
			prepare: func(k *Keeper) { k.PlatformAnswered(); k.StartSettling(time.Minute) }, now: time.Minute + SettleTimeout, want: true,
		},
		"the peer with a newer one is gone": {
			prepare: func(k *Keeper) { k.PlatformAnswered(); k.SetPeerVersion(0, "r2", 4); k.RemovePeer("r2") }, now: SettleTimeout, want: true,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			k := Keeper{Self: "r1"}
			k.Offer(0, 3, validText(3), "")
			tt.prepare(&k)
			if got := k.Ready(tt.now, []string{"r1", "r2"}); got != tt.want {
				t.Errorf("settled %v", got)
			}
		})
	}
}
