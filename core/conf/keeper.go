package conf

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mangolug.org/core/rule"
)

//go:generate stringer -type=Result -linecomment -output=result_string.go

// Result is the outcome of an offered configuration.
type Result int

// Results of Keeper.Offer.
const (
	ResultNone      Result = iota // none
	ResultAccepted                // accepted
	ResultOutdated                // old
	ResultUnchanged               // same
	ResultRefused                 // refused
	ResultConflict                // conflict
)

// MaxText is the maximum size of a configuration text in bytes, which is the maximum size of a value on the
// platform.
const MaxText = 1 << 20

// maxRefused is the maximum number of refused versions that are remembered.
const maxRefused = 8

// Counts are the numbers of offers since the start, by result.
type Counts struct {
	Accepted int64
	Old      int64
	Same     int64
	Refused  int64
	Conflict int64 // a known version was offered with a different text
}

// Keeper holds the newest accepted configuration and finds newer ones at peers. The zero value is ready to use.
type Keeper struct {
	Self   string // this router's name; spreads requests over peers
	Counts Counts

	current          *InForce
	refused          []refusal // the newest refused versions above the one in force, ascending
	claims           map[string]claim
	fetch            fetch
	platformAnswered bool          // the platform was asked and has answered or failed
	settleStart      time.Duration // start of the time in which peers report their versions
}

// refusal is a refused version with the reason.
type refusal struct {
	version uint64
	digest  string
	reason  string
}

// Current returns the configuration in force, or nil if there is none yet.
func (k *Keeper) Current() *InForce { return k.current }

// Version returns the version in force, or 0 if there is none yet.
func (k *Keeper) Version() uint64 {
	if k.current == nil {
		return 0
	}
	return k.current.Version
}

// Refused returns the newest refused version above the one in force and the reason, or 0 if there is none.
func (k *Keeper) Refused() (version uint64, reason string) {
	if len(k.refused) == 0 {
		return 0, ""
	}
	r := k.refused[len(k.refused)-1]
	return r.version, r.reason
}

// Newest returns the highest version that was accepted or refused here. The platform need not send it again.
func (k *Keeper) Newest() uint64 {
	refused, _ := k.Refused()
	return max(k.Version(), refused)
}

// isNewer reports whether a version is above the one in force and was not refused here.
func (k *Keeper) isNewer(version uint64) bool {
	return version > k.Version() && k.refusalOf(version) == nil
}

func (k *Keeper) refusalOf(version uint64) *refusal {
	for i := range k.refused {
		if k.refused[i].version == version {
			return &k.refused[i]
		}
	}
	return nil
}

// Offer evaluates a text that the platform or a peer sent for a version, and puts it in force if it is valid
// and newer than the current one. from is the peer's name.
func (k *Keeper) Offer(now time.Duration, version uint64, text []byte, from string) Result {
	result := k.decide(version, text)
	k.count(result)
	k.finishFetch(now, from, version, result)
	return result
}

func (k *Keeper) decide(version uint64, text []byte) Result {
	if version < k.Version() || version == 0 {
		return ResultOutdated
	}
	if version == k.Version() {
		if digest(text) != k.current.Digest {
			return ResultConflict
		}
		return ResultUnchanged
	}
	if r := k.refusalOf(version); r != nil {
		if digest(text) != r.digest {
			return ResultConflict
		}
		return ResultRefused
	}
	return k.parse(version, text)
}

// parse parses the text of a version that is neither accepted nor refused yet, and accepts or refuses it.
func (k *Keeper) parse(version uint64, text []byte) Result {
	if len(text) > MaxText {
		k.refuse(version, text, fmt.Sprintf("%d bytes, at most %d allowed", len(text), MaxText))
		return ResultRefused
	}
	file, err := rule.Parse(text)
	if err != nil {
		k.refuse(version, text, err.Error())
		return ResultRefused
	}
	k.current = newInForce(version, append([]byte(nil), text...), file)
	k.refused = slices.DeleteFunc(k.refused, func(r refusal) bool { return r.version <= version })
	return ResultAccepted
}

// refuse remembers a refused version so that it is neither fetched nor parsed again.
func (k *Keeper) refuse(version uint64, text []byte, reason string) {
	k.refused = append(k.refused, refusal{version: version, digest: digest(text), reason: reason})
	slices.SortFunc(k.refused, func(a, b refusal) int { return cmp.Compare(a.version, b.version) })
	if len(k.refused) > maxRefused {
		k.refused = k.refused[1:]
	}
}

func (k *Keeper) count(result Result) {
	switch result {
	case ResultAccepted:
		k.Counts.Accepted++
	case ResultOutdated:
		k.Counts.Old++
	case ResultUnchanged:
		k.Counts.Same++
	case ResultRefused:
		k.Counts.Refused++
	case ResultConflict:
		k.Counts.Conflict++
	case ResultNone:
	}
}
