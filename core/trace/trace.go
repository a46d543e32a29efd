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

// lineLimit is the longest line that Replay reads, in bytes. An offered rule file of 1 MB fits.
const lineLimit = 8 << 20

// Header is the first line of a trace.
type Header struct {
	Version int        `json:"version"`
	Start   node.Start `json:"start"`
	Outcome string     `json:"outcome,omitempty"` // description of what a regression trace shows
	Compare Compare    `json:"compare,omitempty"`
}

// Compare selects which effects a replay compares. A regression trace compares outcomes only, so that it stays valid
// when the messages that the router sends in between change.
type Compare string

// Comparison modes.
const (
	CompareEffects  Compare = ""         // all effects, in order
	CompareOutcomes Compare = "outcomes" // the reasons of verdicts on requests and the verdicts on keys, in order
)

// Step is one step of the control state.
type Step struct {
	Now     time.Duration `json:"now"`  // nanoseconds since the process started
	Wall    int64         `json:"wall"` // Unix time in nanoseconds
	Events  []node.Event  `json:"events,omitempty"`
	Effects []node.Effect `json:"effects,omitempty"`
}

// Writer writes a trace. Set Out and call Begin before the first Add.
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

// VersionError is the error for a trace of a format version that this package does not read.
type VersionError struct {
	Version int
}

// Error returns a message with both versions.
func (e *VersionError) Error() string {
	return fmt.Sprintf("unsupported trace version %d, want %d", e.Version, Version)
}

// DifferenceError is the first difference between the recorded and the replayed effects.
type DifferenceError struct {
	Line     int           // line of the file; the header is line 1
	Now      time.Duration // time of the step
	Events   []node.Event
	Effect   int    // index of the first effect that differs, from 0
	Recorded string // the effect as JSON, or its outcome with CompareOutcomes; empty for none
	Replayed string // in the same form as Recorded
}

// Error returns a message with the position and both effects.
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

// Result holds the header and the totals of a replay.
type Result struct {
	Header  Header
	Steps   int
	Events  int
	Effects int
}

// Replay runs a trace through a new control state and compares the effects. The error is a *VersionError, a
// *DifferenceError, or describes what could not be read.
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

// compare returns the first difference between the recorded and the replayed effects as a *DifferenceError, or nil.
func compare(line int, s *Step, mode Compare, replayed []node.Effect) error {
	recorded, got := texts(s.Effects, mode), texts(replayed, mode)
	for i := range max(len(recorded), len(got)) {
		a, b := textAt(recorded, i), textAt(got, i)
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

// texts returns the compared part of each effect as text. Both sides use the same encoding.
func texts(effects []node.Effect, mode Compare) []string {
	var list []string
	for i := range effects {
		if mode == CompareOutcomes {
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

// outcome returns the verdict on a request or a key as text, and an empty string for other effects.
func outcome(e *node.Effect) string {
	switch {
	case e.Verdict != nil:
		return fmt.Sprintf("request %s: %s", e.Verdict.Request, e.Verdict.Reason)
	case e.Key != nil:
		return fmt.Sprintf("key asked %d: %s %s", e.Key.ID, e.Key.Answer.Verdict, e.Key.Answer.Reason)
	case e.Send != nil && e.Send.Message.KeyAnswer != nil:
		a := e.Send.Message.KeyAnswer
		return fmt.Sprintf("key ticket %d of %s: %s %s", a.Ticket, e.Send.To, a.Verdict, a.Reason)
	}
	return ""
}
