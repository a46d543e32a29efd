package conf

import (
	"hash/fnv"
	"slices"
	"time"
)

// Times of asking peers for a newer configuration and of becoming ready.
const (
	// AskTimeout is how long a peer may take to answer before another is asked.
	AskTimeout = 500 * time.Millisecond
	// AskPause is how long a peer that failed to give what it claimed is passed over.
	AskPause = 2 * time.Second
	// ClaimLife is how long a peer's word on its version counts.
	ClaimLife = 2 * time.Second
	// SettleLimit is how long a router waits for peers that say nothing.
	SettleLimit = 3 * time.Second
	// LostLimit is how long a router that starts waits for a newer version that only peers which fell silent had.
	LostLimit = 30 * time.Second
)

// claim is what a peer's heartbeat said last.
type claim struct {
	version uint64
	heard   time.Duration
	shunned time.Duration // not asked before this time
}

// stale reports whether the peer has said nothing for too long to be counted on.
func (c claim) stale(now time.Duration) bool { return now-c.heard > ClaimLife }

// ask is the question under way.
type ask struct {
	peer    string // empty for none
	version uint64
	until   time.Duration
}

// Heard takes the version in force at a peer from its heartbeat.
func (k *Keeper) Heard(now time.Duration, peer string, version uint64) {
	if k.claims == nil {
		k.claims = map[string]claim{}
	}
	c := k.claims[peer]
	c.version, c.heard = version, now
	k.claims[peer] = c
}

// Gone forgets a peer that is lost or has restarted.
func (k *Keeper) Gone(peer string) {
	delete(k.claims, peer)
	if k.ask.peer == peer {
		k.ask = ask{}
	}
}

// Want names the peer to ask now for a newer version that was not refused here; each call that gives ok begins one question.
func (k *Keeper) Want(now time.Duration) (peer string, version uint64, ok bool) {
	if k.ask.peer != "" {
		if now < k.ask.until {
			return "", 0, false
		}
		k.shun(now, k.ask.peer)
		k.ask = ask{}
	}
	peer, version = k.choose(now)
	if peer == "" {
		return "", 0, false
	}
	k.ask = ask{peer: peer, version: version, until: now + AskTimeout}
	return peer, version, true
}

// choose takes, of the peers with the newest claim that may be asked, the one that ranks first for this router.
func (k *Keeper) choose(now time.Duration) (peer string, version uint64) {
	var rank uint64
	for p, c := range k.claims {
		if !k.news(c.version) || c.version < version || c.shunned > now || c.stale(now) {
			continue
		}
		r := k.rank(p, c.version)
		if c.version > version || r > rank || r == rank && p < peer {
			peer, version, rank = p, c.version, r
		}
	}
	return peer, version
}

// rank spreads the askers of one version over the peers that have it.
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

func (k *Keeper) shun(now time.Duration, peer string) {
	if c, found := k.claims[peer]; found {
		c.shunned = now + AskPause
		k.claims[peer] = c
	}
}

// answered ends the question under way if the offer answers it.
func (k *Keeper) answered(now time.Duration, from string, version uint64, result Result) {
	if from == "" || from != k.ask.peer {
		return
	}
	if version < k.ask.version || result == ResultConflict {
		k.shun(now, from)
	}
	k.ask = ask{}
}

// AskedPlatform notes that the platform was asked and has answered or failed to.
func (k *Keeper) AskedPlatform() { k.asked = true }

// Begin notes that peers have SettleLimit from now to tell their versions: they became known, or this router was paused.
func (k *Keeper) Begin(now time.Duration) { k.begun = now }

// Behind reports whether a peer that was lately heard has a newer version in force that was not refused here.
func (k *Keeper) Behind(now time.Duration) bool { return k.behind(now, ClaimLife) }

// behind reports whether a peer that was heard within a time had a newer version in force that was not refused here.
func (k *Keeper) behind(now, within time.Duration) bool {
	for _, c := range k.claims {
		if k.news(c.version) && now-c.heard <= within {
			return true
		}
	}
	return false
}

// Settled reports whether a router that started empty may serve: something is in force, the platform was asked,
// every live peer has told its version (or SettleLimit has passed), and nothing newer is known to be in force elsewhere.
func (k *Keeper) Settled(now time.Duration, live []string) bool {
	if k.current == nil || k.behind(now, LostLimit) {
		return false
	}
	if now >= k.begun+SettleLimit {
		return true
	}
	silent := slices.ContainsFunc(live, func(peer string) bool {
		_, heard := k.claims[peer]
		return !heard && peer != k.Self
	})
	return k.asked && !silent
}
