package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/node"
)

// Version is the version of the format that this package writes and reads.
const Version = 1

// lineLimit is the longest line that is read, in bytes; an offered rule file of 1 MB fits.
const lineLimit = 8 << 20

// Header is the first line of a trace.
type Header struct {
	Version int        `json:"version"`
	Start   node.Start `json:"start"`
	Outcome string     `json:"outcome,omitempty"` // what the trace shows, in words, for a kept one
	Compare Compare    `json:"compare,omitempty"`
}

// Compare says which effects a replay compares; a trace that is kept to guard an outcome outlives changes of what the
// router sends meanwhile.
type Compare string

// Ways to compare.
const (
	CompareEffects  Compare = ""         // each effect, in order
	CompareOutcomes Compare = "outcomes" // the reasons given to requests and the verdicts on keys, in order
)

// Step is one step of the control state.
type Step struct {
	Now     time.Duration `json:"now"`  // nanoseconds since the process began
	Wall    int64         `json:"wall"` // nanoseconds since 1970
	Events  []node.Event  `json:"events,omitempty"`
	Effects []node.Effect `json:"effects,omitempty"`
}

// Writer writes a trace; set Out and call Begin first.
type Writer struct {
	Out io.Writer
}

// Begin writes the header.
func (w *Writer) Begin(h Header) error {
	h.Version = Version
	return errors.Wrap(json.NewEncoder(w.Out).Encode(h), "write header")
}

// Add writes one step.
func (w *Writer) Add(s *Step) error {
	return errors.Wrap(json.NewEncoder(w.Out).Encode(s), "write step")
}

// VersionError says that a trace has another format than this package reads.
type VersionError struct {
	Version int
}

// Error names both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("the trace has version %d, this program reads version %d", e.Version, Version)
}

// DifferenceError says at which step and how a replay came out otherwise than recorded.
type DifferenceError struct {
	Line     int           // of the file, the header being line 1
	Now      time.Duration // of the step
	Events   []node.Event
	Effect   int    // the first that differs, counted from 0
	Recorded string // the effect as JSON; empty for none
	Replayed string // likewise
}

// Error gives the place and both effects.
func (e *DifferenceError) Error() string {
	return fmt.Sprintf("line %d at %v, effect %d: recorded %s, replayed %s",
		e.Line, e.Now, e.Effect, orNone(e.Recorded), orNone(e.Replayed))
}

func orNone(effect string) string {
	if effect == "" {
		return "none"
	}
	return effect
}

// Result sums up a replay.
type Result struct {
	Header  Header
	Steps   int
	Events  int
	Effects int
}

// Replay runs a trace through a new control state and compares each effect; its error is a *VersionError, a
// *DifferenceError or one that tells what could not be read.
func Replay(in io.Reader) (Result, error) {
	var result Result
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, lineLimit)
	if !lines.Scan() {
		return result, errors.Wrap(orEOF(lines.Err()), "read header")
	}
	if err := json.Unmarshal(lines.Bytes(), &result.Header); err != nil {
		return result, errors.Wrap(err, "read header")
	}
	if result.Header.Version != Version {
		return result, &VersionError{Version: result.Header.Version}
	}
	state := &node.Node{Start: result.Header.Start}
	for line := 2; lines.Scan(); line++ {
		var s Step
		if err := json.Unmarshal(lines.Bytes(), &s); err != nil {
			return result, errors.Wrapf(err, "read line %d", line)
		}
		effects := state.Step(s.Now, time.Unix(0, s.Wall), s.Events)
		if err := compare(line, &s, result.Header.Compare, effects); err != nil {
			return result, err
		}
		result.Steps++
		result.Events += len(s.Events)
		result.Effects += len(effects)
	}
	return result, errors.Wrap(lines.Err(), "read trace")
}

func orEOF(err error) error {
	if err == nil {
		return io.ErrUnexpectedEOF
	}
	return err
}

// compare gives the first difference between the recorded and the replayed effects.
func compare(line int, s *Step, way Compare, replayed []node.Effect) error {
	recorded, again := texts(s.Effects, way), texts(replayed, way)
	for i := range max(len(recorded), len(again)) {
		a, b := textAt(recorded, i), textAt(again, i)
		if a != b {
			return &DifferenceError{Line: line, Now: s.Now, Events: s.Events, Effect: i, Recorded: a, Replayed: b}
		}
	}
	return nil
}

func textAt(list []string, i int) string {
	if i >= len(list) {
		return ""
	}
	return list[i]
}

// texts gives what is compared of each effect as text; both sides go through the same encoding.
func texts(effects []node.Effect, way Compare) []string {
	var list []string
	for i := range effects {
		if way == CompareOutcomes {
			if o := outcome(&effects[i]); o != "" {
				list = append(list, o)
			}
			continue
		}
		text, err := json.Marshal(effects[i])
		if err != nil {
			text = []byte(err.Error())
		}
		list = append(list, string(text))
	}
	return list
}

// outcome gives what a request or a key's asker was told; empty for other effects.
func outcome(e *node.Effect) string {
	switch {
	case e.Verdict != nil:
		return fmt.Sprintf("request %s: %s", e.Verdict.Request, e.Verdict.Reason)
	case e.Key != nil:
		return fmt.Sprintf("key asked %d: %s %s", e.Key.Ask, e.Key.Answer.Verdict, e.Key.Answer.Reason)
	case e.Send != nil && e.Send.Message.KeyAnswer != nil:
		a := e.Send.Message.KeyAnswer
		return fmt.Sprintf("key ticket %d of %s: %s %s", a.Ticket, e.Send.To, a.Verdict, a.Reason)
	}
	return ""
}
