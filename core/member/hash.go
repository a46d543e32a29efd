package member

import "hash/fnv"

// Hash is the 32-bit hash by which heartbeats name a router.
func Hash(name string) uint32 { return uint32(mix(hashText(name)) >> 32) }

// Winner returns the hash that ranks first for a duty by rendezvous hashing (Thaler and Ravishankar 1998), or false for an empty view.
func Winner(view []uint32, duty string) (uint32, bool) {
	return winner(view, hashText(duty))
}

// winner returns the hash that ranks first for the duty whose hash is the seed.
func winner(view []uint32, seed uint64) (uint32, bool) {
	var best uint32
	var top uint64
	for i, h := range view {
		if s := score(seed, h); i == 0 || s > top || s == top && h < best {
			best, top = h, s
		}
	}
	return best, len(view) > 0
}

// score returns the rank of a router for the duty whose hash is the seed; the highest score wins.
func score(seed uint64, router uint32) uint64 {
	return mix(seed ^ mix(uint64(router)+0x9e3779b97f4a7c15))
}

func hashText(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// mix is the finalizer of SplitMix64 (Steele, Lea and Flood 2014).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
