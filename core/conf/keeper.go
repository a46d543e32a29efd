package conf

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"mangolug.org/core/rule"
)

//go:generate stringer -type=Result -linecomment -output=result_string.go

// Result says what became of an offered configuration.
type Result int

// Results of an offer.
const (
	ResultNone     Result = iota // none
	ResultAccepted               // accepted
	ResultOld                    // old
	ResultSame                   // same
	ResultRefused                // refused
	ResultConflict               // conflict
)

// MaxText is the largest text of a configuration in bytes, the most that one value of the platform holds.
const MaxText = 1 << 20

// maxRefused is how many refused versions are remembered.
const maxRefused = 8

// Counts are totals of offers since start, by result.
type Counts struct {
	Accepted int64
	Old      int64
	Same     int64
	Refused  int64
	Conflict int64 // a known version came with another text
}

// Keeper holds the newest accepted configuration and looks for newer ones at peers; its zero value is ready to use.
type Keeper struct {
	Self   string // this router's name, spreads the asking over peers
	Counts Counts

	current *InForce
	refused []refusal // the newest refused versions above the one in force, ascending
	claims  map[string]claim
	ask     ask
	asked   bool          // the platform answered or failed to
	begun   time.Duration // since when peers may be expected to tell their versions
}

// refusal is a version that was refused whole.
type refusal struct {
	version uint64
	digest  string
	why     string
}

// Current gives the configuration in force, nil before the first.
func (k *Keeper) Current() *InForce { return k.current }

// Version gives the version in force, 0 before the first.
func (k *Keeper) Version() uint64 {
	if k.current == nil {
		return 0
	}
	return k.current.Version
}

// Refused gives the newest refused version above the one in force and why it was refused, or 0.
func (k *Keeper) Refused() (version uint64, why string) {
	if len(k.refused) == 0 {
		return 0, ""
	}
	r := k.refused[len(k.refused)-1]
	return r.version, r.why
}

// Newest gives the highest version that was decided here, accepted or refused; the platform need not send it again.
func (k *Keeper) Newest() uint64 {
	refused, _ := k.Refused()
	return max(k.Version(), refused)
}

// news reports whether a version is above the one in force and was not refused here.
func (k *Keeper) news(version uint64) bool {
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

// Offer takes a text that the platform or a peer gave for a version; versions in force only rise.
func (k *Keeper) Offer(now time.Duration, version uint64, text []byte, from string) Result {
	result := k.decide(version, text)
	k.count(result)
	k.answered(now, from, version, result)
	return result
}

func (k *Keeper) decide(version uint64, text []byte) Result {
	if version < k.Version() || version == 0 {
		return ResultOld
	}
	if version == k.Version() {
		if digest(text) != k.current.Digest {
			return ResultConflict
		}
		return ResultSame
	}
	if r := k.refusalOf(version); r != nil {
		if digest(text) != r.digest {
			return ResultConflict
		}
		return ResultRefused
	}
	return k.read(version, text)
}

// read parses a text that was not decided before.
func (k *Keeper) read(version uint64, text []byte) Result {
	if len(text) > MaxText {
		k.refuse(version, text, fmt.Sprintf("%d bytes, at most %d allowed", len(text), MaxText))
		return ResultRefused
	}
	file, err := rule.Parse(text)
	if err != nil {
		k.refuse(version, text, err.Error())
		return ResultRefused
	}
	k.current = build(version, append([]byte(nil), text...), file)
	k.refused = slices.DeleteFunc(k.refused, func(r refusal) bool { return r.version <= version })
	return ResultAccepted
}

// refuse remembers a refused version, so that it is neither fetched nor parsed again.
func (k *Keeper) refuse(version uint64, text []byte, why string) {
	k.refused = append(k.refused, refusal{version: version, digest: digest(text), why: why})
	slices.SortFunc(k.refused, func(a, b refusal) int { return cmp.Compare(a.version, b.version) })
	if len(k.refused) > maxRefused {
		k.refused = k.refused[1:]
	}
}

func (k *Keeper) count(result Result) {
	switch result {
	case ResultAccepted:
		k.Counts.Accepted++
	case ResultOld:
		k.Counts.Old++
	case ResultSame:
		k.Counts.Same++
	case ResultRefused:
		k.Counts.Refused++
	case ResultConflict:
		k.Counts.Conflict++
	case ResultNone:
	}
}
