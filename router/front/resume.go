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

// eventHashBytes is the size of an event's hash in memory.
const eventHashBytes = 8

// maxEventHashBytes bounds the event hashes kept for one stream. A longer stream is not retried once its delivery has started.
const maxEventHashBytes = 32 << 10

// hashSeed is random so that a backend server cannot choose events whose hashes collide.
var hashSeed = maphash.MakeSeed()

// deliveredStream records the part of a stream that was sent to the caller. A retry of an interrupted stream must reproduce these events first.
type deliveredStream struct {
	started    bool     // part of the stream has been delivered
	id         string   // ID of the answer that the caller sees
	hashes     []uint64 // hashes of the delivered events, in order
	overflowed bool     // the limit was exceeded, so a retry cannot be compared
}

// add records the hash of an event that is about to be delivered.
func (r *deliveredStream) add(hash uint64) {
	if r.overflowed || (len(r.hashes)+1)*eventHashBytes > maxEventHashBytes {
		r.overflowed, r.hashes = true, nil
		return
	}
	r.hashes = append(r.hashes, hash)
}

// errDiverged is returned when a retry does not reproduce the events that the caller already has.
var errDiverged = errors.New("retry does not reproduce the events already delivered")

// hashEvent returns the hash of an event's choices, or of all its data if it has none.
func hashEvent(choices json.RawMessage, event back.Event) uint64 {
	if choices == nil {
		return maphash.Bytes(hashSeed, event.Data)
	}
	return maphash.Bytes(hashSeed, choices)
}

// canContinue reports whether an answer can continue the part of the stream that was sent to the caller.
func (t *attempt) canContinue(a *back.Answer, events bool) bool {
	return !t.call.delivered.started || events && a.Status == http.StatusOK
}

// undelivered returns the part of an event that the caller does not have yet, or errDiverged.
func (t *attempt) undelivered(event back.Event) ([]byte, error) {
	r := &t.call.delivered
	behind := t.matched < len(r.hashes)
	switch {
	case event.End && behind:
		return nil, errDiverged
	case len(event.Data) == 0 && behind:
		return nil, nil
	case event.End, len(event.Data) == 0:
		return event.Text, nil
	case behind && r.hashes[t.matched] != t.eventHash:
		return nil, errDiverged
	case behind:
		t.matched++
		return nil, nil
	}
	if t.matched == 0 {
		r.id = t.answerID
	}
	r.add(t.eventHash)
	t.matched++
	return replaceID(event, t.answerID, r.id)
}

// replaceID returns the text of an event with the answer ID that the caller knows.
func replaceID(event back.Event, from, to string) ([]byte, error) {
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

// withID returns a JSON object with its ID replaced and everything else unchanged.
func withID(object []byte, id string) ([]byte, error) {
	quoted, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	d := json.NewDecoder(bytes.NewReader(object))
	if _, err := d.Token(); err != nil {
		return nil, err
	}
	var text []byte
	copied := 0
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
			text = append(append(text, object[copied:end-len(value)]...), quoted...)
			copied = end
		}
	}
	return append(text, object[copied:]...), nil
}

// writeErrorEvent writes a refusal as the last event of a partly delivered stream.
func (c *call) writeErrorEvent(e *Refusal) {
	text, err := json.Marshal(e.body(c.id))
	if err != nil {
		return
	}
	c.extendWriteDeadline()
	if _, err := c.writer.Write([]byte("event: error\ndata: " + string(text) + "\n\n")); err == nil {
		_ = c.control.Flush() // the answer is aborted next, which also shows that it is truncated
	}
}
