package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
	"mangolug.org/router/back"
)

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// relay relays a server's answer to the caller.
func (t *attempt) relay(a *back.Answer) error {
	c := t.call
	model := c.product.Kind == rule.KindModel
	if model && a.Status >= http.StatusInternalServerError {
		return &back.ServerError{Server: t.verdict.Grant.Server, Reason: fleet.ReasonServerFailed, Sent: true, Status: a.Status}
	}
	events := back.IsEventStream(a.Header)
	if !t.canContinue(a, events) {
		return t.interrupted(errDiverged)
	}
	if model && events {
		return t.relayEvents(a)
	}
	return t.relayBuffered(a, model)
}

// lastChunkTimeout is how long the caller's answer, already whole, is kept open for the server to end its own, so that the
// connection to the server can be reused.
const lastChunkTimeout = 100 * time.Millisecond

// relayEvents relays whole events, except those that the caller received from an interrupted attempt.
func (t *attempt) relayEvents(a *back.Answer) error {
	c := t.call
	stall := time.AfterFunc(c.front.Settings.StallTimeout, t.cancel)
	defer stall.Stop()
	events := back.NewEvents(a.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return t.interrupted(err)
		}
		stall.Reset(c.front.Settings.StallTimeout)
		if a.CloseDelimited && event.Foreign {
			return t.interrupted(errSecondAnswer)
		}
		if err := t.recordEvent(event); err != nil {
			return t.interrupted(err)
		}
		t.recordFirstByte()
		text, err := t.undelivered(event)
		if err != nil {
			return t.interrupted(err)
		}
		if err := c.deliver(a, text); err != nil {
			return t.callerLost(err)
		}
		if event.End {
			if !a.CloseDelimited {
				stall.Reset(lastChunkTimeout)
				_, _ = a.Body.Read(make([]byte, 1)) // the transport reuses the connection only after reading EOF
			}
			return nil
		}
		t.reportProgress()
	}
}

// deliver writes part of a stream to the caller and flushes it.
func (c *call) deliver(a *back.Answer, text []byte) error {
	if len(text) == 0 {
		return nil
	}
	if !c.headerWritten {
		c.writeHeader(a, -1)
		c.delivered.started = true
	}
	c.extendWriteDeadline()
	if _, err := c.writer.Write(text); err != nil {
		return err
	}
	return c.control.Flush()
}

// interrupted handles a stream that ended without its end marker or cannot be continued. The error that it returns lets the
// request be retried if a retry can be compared with the events delivered so far; otherwise the caller gets an error event.
func (t *attempt) interrupted(err error) error {
	c := t.call
	if !c.headerWritten {
		return t.brokenError(err)
	}
	c.mayHaveRun = true
	if c.request.Context().Err() != nil {
		return t.callerLost(c.request.Context().Err())
	}
	reason := fleet.ReasonStreamBroken
	switch {
	case errors.Is(err, errForeignEvent):
		reason = fleet.ReasonForeignAnswer
	case errors.Is(err, errDiverged):
		c.front.count("streams.diverged")
		t.diverged = true
	case c.front.stopping.Err() != nil:
		reason = fleet.ReasonStopped
	case c.front.Clock() >= c.deadline:
		reason = fleet.ReasonDeadlinePassed
	case !c.nonIdempotent && !c.delivered.overflowed:
		return t.brokenError(err)
	}
	return c.attemptRefusal(reason, &back.ServerError{Server: t.verdict.Grant.Server, Reason: reason, Sent: true, Err: err})
}

// errSecondAnswer is returned when a stream without a length breaks off and another answer follows on its connection.
var errSecondAnswer = errors.New("stream contains the header of another answer")

// errForeignEvent is returned when a stream contains an event of another answer.
var errForeignEvent = errors.New("stream contains an event of another answer")

// recordEvent counts an event and checks that it belongs to the answer. By the convention of the completions API,
// all events of an answer carry the same ID.
func (t *attempt) recordEvent(event back.Event) error {
	if event.End || len(event.Data) == 0 {
		return nil
	}
	var chunk struct {
		ID      string          `json:"id"`
		Choices json.RawMessage `json:"choices"`
		Usage   *usage          `json:"usage"`
	}
	if err := json.Unmarshal(event.Data, &chunk); err != nil {
		return err
	}
	switch {
	case t.answerID == "":
		t.answerID = chunk.ID
	case chunk.ID != t.answerID:
		t.call.front.count("foreignEvents")
		return errForeignEvent
	}
	t.chunks++
	t.eventHash = hashEvent(chunk.Choices, event)
	if chunk.Usage != nil {
		t.usage = chunk.Usage
	}
	return nil
}

func (t *attempt) reportProgress() {
	f := t.call.front
	now := f.Clock()
	if f.Progress == nil || now-t.reportedAt < f.Settings.ProgressInterval {
		return
	}
	t.reportedAt = now
	f.Progress(t.verdict, t.cost())
}

// relayBuffered buffers a whole answer before relaying it, so that a truncated answer can be retried. An answer over the limit is relayed unbuffered.
func (t *attempt) relayBuffered(a *back.Answer, model bool) error {
	c := t.call
	limit := c.front.Settings.BufferedAnswerBytes
	t.recordFirstByte()
	buffered, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return t.brokenError(err)
	}
	if int64(len(buffered)) > limit {
		return t.relayUnbuffered(a, buffered)
	}
	if model {
		var answer struct {
			Usage *usage `json:"usage"`
		}
		if json.Unmarshal(buffered, &answer) == nil {
			t.usage = answer.Usage
		}
	}
	c.recordAnswer(a, buffered)
	length := int64(len(buffered))
	if c.request.Method == http.MethodHead {
		length = a.Length
	}
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		length = -1
	}
	c.writeHeader(a, length)
	if _, err := c.writer.Write(buffered); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return t.callerLost(err)
	}
	return nil
}

// relayUnbuffered relays an answer that is too long to buffer, and aborts the connection if the answer is truncated.
func (t *attempt) relayUnbuffered(a *back.Answer, buffered []byte) error {
	c := t.call
	c.writeHeader(a, a.Length)
	rest := io.MultiReader(bytes.NewReader(buffered), a.Body)
	part := make([]byte, 64<<10)
	for {
		n, err := rest.Read(part)
		if n > 0 {
			c.extendWriteDeadline()
			if _, err := c.writer.Write(part[:n]); err != nil {
				return t.callerLost(err)
			}
			if err := c.control.Flush(); err != nil {
				return t.callerLost(err)
			}
		}
		if errors.Is(err, io.EOF) {
			c.recordAnswer(a, nil)
			c.record.Truncated = true
			return nil
		}
		if err != nil {
			c.mayHaveRun = true
			return c.attemptRefusal(fleet.ReasonStreamBroken, t.brokenError(err))
		}
	}
}

// writeHeader writes the answer's header.
func (c *call) writeHeader(a *back.Answer, length int64) {
	h := c.writer.Header()
	passed := a.Header.Clone()
	back.StripHopByHop(passed)
	for name, values := range passed {
		switch name {
		case "Content-Length", back.HeaderAttempt, headerRequest:
		default:
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.extendWriteDeadline()
	c.headerWritten = true
	c.writer.WriteHeader(a.Status)
}

// recordAnswer keeps an answer for the key's home. The body is left out if it is over the limit, or encoded, as the record has no
// Content-Encoding.
func (c *call) recordAnswer(a *back.Answer, body []byte) {
	c.record = fleet.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: body}
	if len(body) > c.front.Settings.RecordedAnswerBytes || a.Header.Get("Content-Encoding") != "" {
		c.record.Body, c.record.Truncated = nil, true
	}
}
