package fault

import "time"

// Rule is what happens to the connections of one pair; the rule with link and
// source set goes before one with either, and that before one with neither.
type Rule struct {
	Link   string `json:"link"`   // name of a link; empty for all
	Source string `json:"source"` // IP address that connects; empty for all
	Times  int    `json:"times"`  // resets and truncations that the rule makes before it ends; 0 for no end

	Cut           bool   `json:"cut"`           // reset open connections and refuse new ones
	HalfOpen      bool   `json:"halfOpen"`      // forward nothing more on what is open, for good, and close nothing
	HoldRequests  bool   `json:"holdRequests"`  // one-way loss towards the target: bytes arrive once the rule goes
	HoldAnswers   bool   `json:"holdAnswers"`   // one-way loss towards the source
	DelayMillis   int    `json:"delayMillis"`   // added each way
	ResetRequests int64  `json:"resetRequests"` // reset once so many bytes of requests passed; 0 for never
	ResetAnswers  int64  `json:"resetAnswers"`  // reset once so many bytes of answers passed; 0 for never
	ResetAt       string `json:"resetAt"`       // reset where this text begins in the answers, plus ResetOffset
	ResetOffset   int    `json:"resetOffset"`   // bytes
	ResetSkip     int    `json:"resetSkip"`     // occurrences of ResetAt that pass before
	Close         bool   `json:"close"`         // close in order where the rule would reset
	TrickleBytes  int    `json:"trickleBytes"`  // answers pass so many bytes at a time; 0 for no limit
	TrickleMillis int    `json:"trickleMillis"` // between two pieces of a trickle
	Duplicate     bool   `json:"duplicate"`     // send each piece of an answer twice
	Swap          bool   `json:"swap"`          // exchange the next pieces of answers of two connections
}

func (r *Rule) delay() time.Duration { return time.Duration(r.DelayMillis) * time.Millisecond }

// pair is what a rule applies to.
type pair struct{ link, source string }

// active is a rule in force with what it did so far.
type active struct {
	Rule
	fired int
	held  chan exchange // one connection's piece that waits for another's
}

// exchange is a piece of an answer offered for another.
type exchange struct {
	data []byte
	back chan []byte
}

// spent says that the rule has made all its resets; the caller holds the proxy's mutex.
func (a *active) spent() bool { return a.Times > 0 && a.fired >= a.Times }
