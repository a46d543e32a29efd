package conf

import (
	"hash/fnv"
	"slices"
	"time"
)

// Time limits for fetching a newer configuration from peers and for becoming ready.
const (
	// FetchTimeout is how long a peer may take to answer before another peer is asked.
	FetchTimeout = 500 * time.Millisecond
	// FetchBackoff is how long a peer that failed to send the version it advertised is not asked again.
	FetchBackoff = 2 * time.Second
	// ClaimTTL is how long a version advertised by a peer is valid.
	ClaimTTL = 2 * time.Second
	// SettleTimeout is how long a starting router waits for peers that advertise no version.
	SettleTimeout = 3 * time.Second
	// SilentPeerTimeout is how long a starting router waits for a newer version that was advertised only by peers
	// that have since fallen silent.
	SilentPeerTimeout = 30 * time.Second
)

// claim is the version that a peer advertised in its last heartbeat.
type claim struct {
	version uint64
	heardAt time.Duration
	retryAt time.Duration // not asked again before this time
}

// stale reports whether the claim is older than ClaimTTL.
func (c claim) stale(now time.Duration) bool { return now-c.heardAt > ClaimTTL }

// fetch is the request to a peer that is in progress.
type fetch struct {
	peer     string // empty if there is none
	version  uint64
	deadline time.Duration
}

// SetPeerVersion records the version in force at a peer, taken from its heartbeat.
func (k *Keeper) SetPeerVersion(now time.Duration, peer string, version uint64) {
	if k.claims == nil {
		k.claims = map[string]claim{}
	}
	c := k.claims[peer]
	c.version, c.heardAt = version, now
	k.claims[peer] = c
}

// RemovePeer removes a peer that is lost or has restarted.
func (k *Keeper) RemovePeer(peer string) {
	delete(k.claims, peer)
	if k.fetch.peer == peer {
		k.fetch = fetch{}
	}
}

// NextFetch returns a peer to ask now for a newer version that was not refused here, and false if there is none.
// Each call that returns true starts one fetch.
func (k *Keeper) NextFetch(now time.Duration) (peer string, version uint64, ok bool) {
	if k.fetch.peer != "" {
		if now < k.fetch.deadline {
			return "", 0, false
		}
		k.backOff(now, k.fetch.peer)
		k.fetch = fetch{}
	}
	peer, version = k.choosePeer(now)
	if peer == "" {
		return "", 0, false
	}
	k.fetch = fetch{peer: peer, version: version, deadline: now + FetchTimeout}
	return peer, version, true
}

// choosePeer returns the peer with the newest claim that may be asked now, and the claimed version. Among
// several such peers it returns the one that ranks highest for this router.
func (k *Keeper) choosePeer(now time.Duration) (peer string, version uint64) {
	var rank uint64
	for p, c := range k.claims {
		if !k.isNewer(c.version) || c.version < version || c.retryAt > now || c.stale(now) {
			continue
		}
		r := k.rank(p, c.version)
		if c.version > version || r > rank || r == rank && p < peer {
			peer, version, rank = p, c.version, r
		}
	}
	return peer, version
}

// rank returns a hash that spreads the routers that fetch a version over the peers that have it.
func (k *Keeper) rank(peer string, version uint64) uint64 {
	h := fnv.New64a()
	for _, s := range []string{k.Self, "\x00", peer, "\x00"} {
		_, _ = h.Write([]byte(s))
	}
	var raw [8]byte
	for i := range raw {
		raw[i] = byte(version >> (8 * i))
	}
	_, _ = h.Write(raw[:])
	return h.Sum64()
}

// backOff stops fetches from a peer for FetchBackoff.
func (k *Keeper) backOff(now time.Duration, peer string) {
	if c, found := k.claims[peer]; found {
		c.retryAt = now + FetchBackoff
		k.claims[peer] = c
	}
}

// finishFetch ends the fetch in progress if the offer comes from its peer. A peer that sent an older version
// or a conflicting text is backed off.
func (k *Keeper) finishFetch(now time.Duration, from string, version uint64, result Result) {
	if from == "" || from != k.fetch.peer {
		return
	}
	if version < k.fetch.version || result == ResultConflict {
		k.backOff(now, from)
	}
	k.fetch = fetch{}
}

// PlatformAnswered records that the platform was asked and has answered or failed to.
func (k *Keeper) PlatformAnswered() { k.platformAnswered = true }

// StartSettling starts the SettleTimeout in which peers must advertise their versions. It is called when the peers become
// known and after this router was paused.
func (k *Keeper) StartSettling(now time.Duration) { k.settleStart = now }

// IsBehind reports whether a peer advertised, within ClaimTTL, a newer version that was not refused here.
func (k *Keeper) IsBehind(now time.Duration) bool { return k.behind(now, ClaimTTL) }

// behind reports whether a peer advertised, within the given time, a newer version that was not refused here.
func (k *Keeper) behind(now, within time.Duration) bool {
	for _, c := range k.claims {
		if k.isNewer(c.version) && now-c.heardAt <= within {
			return true
		}
	}
	return false
}

// Ready reports whether a router that started without a configuration may serve: a configuration is in force,
// the platform was asked, every live peer has advertised its version (or SettleTimeout has passed), and no newer
// version is known to be in force elsewhere.
func (k *Keeper) Ready(now time.Duration, live []string) bool {
	if k.current == nil || k.behind(now, SilentPeerTimeout) {
		return false
	}
	if now >= k.settleStart+SettleTimeout {
		return true
	}
	silent := slices.ContainsFunc(live, func(peer string) bool {
		_, heard := k.claims[peer]
		return !heard && peer != k.Self
	})
	return k.platformAnswered && !silent
}
