package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"hash/maphash"
	"net/http"
	"strings"

	"mangolug.org/router/back"
)

// markBytes is the size of one event's mark.
const markBytes = 8

// relayedBytes bounds the marks of one stream; a longer one is not run again.
const relayedBytes = 32 << 10

// markSeed keeps servers from choosing events whose marks are equal.
var markSeed = maphash.MakeSeed()

// relayed is what of a stream has gone to the caller: a run that takes the place of a broken one must give the same events first.
type relayed struct {
	begun bool     // a part of it has gone
	id    string   // of the answer that the caller sees
	marks []uint64 // of the events in turn
	long  bool     // over the bound, so that no other run can be compared
}

// add notes an event that goes to the caller.
func (r *relayed) add(mark uint64) {
	if r.long || (len(r.marks)+1)*markBytes > relayedBytes {
		r.long, r.marks = true, nil
		return
	}
	r.marks = append(r.marks, mark)
}

// errDiverged is a run that does not give what the caller has already got.
var errDiverged = errors.New("another run of the request gave another answer")

// markOf stands for what an event says of the answer: its choices, or all of it where it has none.
func markOf(choices json.RawMessage, event back.Event) uint64 {
	if choices == nil {
		return maphash.Bytes(markSeed, event.Data)
	}
	return maphash.Bytes(markSeed, choices)
}

// fits reports an answer that can go on where the broken one stopped.
func (t *try) fits(a *back.Answer, events bool) bool {
	return !t.call.relayed.begun || events && a.Status == http.StatusOK
}

// onward gives what of an event the caller has not yet got, or errDiverged.
func (t *try) onward(event back.Event) ([]byte, error) {
	r := &t.call.relayed
	behind := t.matched < len(r.marks)
	switch {
	case event.End && behind:
		return nil, errDiverged
	case len(event.Data) == 0 && behind:
		return nil, nil
	case event.End, len(event.Data) == 0:
		return event.Text, nil
	case behind && r.marks[t.matched] != t.mark:
		return nil, errDiverged
	case behind:
		t.matched++
		return nil, nil
	}
	if t.matched == 0 {
		r.id = t.answerID
	}
	r.add(t.mark)
	t.matched++
	return renamed(event, t.answerID, r.id)
}

// renamed gives an event's text with the id that the caller knows.
func renamed(event back.Event, from, to string) ([]byte, error) {
	if from == to {
		return event.Text, nil
	}
	if from == "" || to == "" {
		return nil, errDiverged
	}
	data, err := withID(event.Data, to)
	if err != nil {
		return nil, err
	}
	var text bytes.Buffer
	for line := range strings.Lines(string(event.Text)) {
		if line = strings.TrimRight(line, "\r\n"); line != "" && !strings.HasPrefix(line, "data:") {
			text.WriteString(line + "\n")
		}
	}
	for line := range strings.SplitSeq(string(data), "\n") {
		text.WriteString("data: " + line + "\n")
	}
	text.WriteByte('\n')
	return text.Bytes(), nil
}

// withID gives an object with another id and all else as it was.
func withID(object []byte, id string) ([]byte, error) {
	name, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(object))
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	var text []byte
	kept := 0
	for d.More() {
		key, err := d.Token()
		if err != nil {
			return nil, err
		}
		var value json.RawMessage
		if err := d.Decode(&value); err != nil {
			return nil, err
		}
		if word, ok := key.(string); ok && strings.EqualFold(word, "id") {
			end := int(d.InputOffset())
			text = append(append(text, object[kept:end-len(value)]...), name...)
			kept = end
		}
	}
	return append(text, object[kept:]...), nil
}

// endStream tells a caller who has a part of a stream that no more of it comes.
func (c *call) endStream(e *Refusal) {
	text, err := json.Marshal(e.body(c.id))
	if err != nil {
		return
	}
	c.extend()
	if _, err := c.writer.Write([]byte("event: error\ndata: " + string(text) + "\n\n")); err == nil {
		_ = c.control.Flush() // the handler ends next, which flushes too
	}
}
