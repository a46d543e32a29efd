package trace

import (
	"bufio"
	"bytes"
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
}

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
		if err := compare(line, &s, effects); err != nil {
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
func compare(line int, s *Step, replayed []node.Effect) error {
	for i := range max(len(s.Effects), len(replayed)) {
		recorded, again := effectAt(s.Effects, i), effectAt(replayed, i)
		if !bytes.Equal(recorded, again) {
			return &DifferenceError{
				Line: line, Now: s.Now, Events: s.Events, Effect: i, Recorded: string(recorded), Replayed: string(again),
			}
		}
	}
	return nil
}

// effectAt gives an effect as JSON, nothing past the end; both sides go through the same encoding.
func effectAt(effects []node.Effect, i int) []byte {
	if i >= len(effects) {
		return nil
	}
	text, err := json.Marshal(effects[i])
	if err != nil {
		return []byte(err.Error())
	}
	return text
}
