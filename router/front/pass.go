package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/rule"
	"mangolug.org/router/back"
)

func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// pass hands a server's answer on to the caller.
func (t *try) pass(a *back.Answer) error {
	c := t.call
	model := c.product.Kind == rule.KindModel
	if model && a.Status >= http.StatusInternalServerError {
		return &back.ServerError{Server: t.verdict.Grant.Server, Reason: fleet.ReasonServerFailed, Sent: true, Status: a.Status}
	}
	events := strings.HasPrefix(a.Header.Get("Content-Type"), "text/event-stream")
	if !t.fits(a, events) {
		return t.cut(errDiverged)
	}
	if model && events {
		return t.passEvents(a)
	}
	return t.passWhole(a, model)
}

// passEvents hands on whole events, but for those which the caller has from a run that broke off.
func (t *try) passEvents(a *back.Answer) error {
	c := t.call
	stall := time.AfterFunc(c.front.Settings.StallTimeout, t.cancel)
	defer stall.Stop()
	events := back.NewEvents(a.Body)
	for {
		event, err := events.Next()
		if err != nil {
			return t.cut(err)
		}
		stall.Reset(c.front.Settings.StallTimeout)
		if err := t.tally(event); err != nil {
			return t.cut(err)
		}
		t.first()
		text, err := t.onward(event)
		if err != nil {
			return t.cut(err)
		}
		if err := c.deliver(a, text); err != nil {
			return t.callerLost(err)
		}
		if event.End {
			_, _ = a.Body.Read(make([]byte, 1)) // the transport reuses the connection once it has seen the end
			return nil
		}
		t.progress()
	}
}

// deliver passes a part of a stream on at once.
func (c *call) deliver(a *back.Answer, text []byte) error {
	if len(text) == 0 {
		return nil
	}
	if !c.written {
		c.begin(a, -1)
		c.relayed.begun = true
	}
	c.extend()
	if _, err := c.writer.Write(text); err != nil {
		return err
	}
	return c.control.Flush()
}

// cut ends a stream without its end marker: run again if what the caller has can be compared, else an explicit error.
func (t *try) cut(err error) error {
	c := t.call
	if !c.written {
		return t.broken(err)
	}
	c.sent = true
	if c.request.Context().Err() != nil {
		return t.callerLost(c.request.Context().Err())
	}
	reason := fleet.ReasonStreamBroken
	switch {
	case errors.Is(err, errForeignEvent):
		reason = fleet.ReasonForeignAnswer
	case errors.Is(err, errDiverged):
		c.front.count("streams.diverged")
		t.useless = true
	case c.front.stopping.Err() != nil:
		reason = fleet.ReasonStopped
	case c.front.Clock() >= c.deadline:
		reason = fleet.ReasonDeadlinePassed
	case !c.once && !c.relayed.long:
		return t.broken(err)
	}
	return c.failure(reason, &back.ServerError{Server: t.verdict.Grant.Server, Reason: reason, Sent: true, Err: err})
}

// errForeignEvent is an event of another stream within this one.
var errForeignEvent = errors.New("an event of another answer came within this one")

// tally counts an event's tokens and checks that it belongs to the answer: by the completions convention all events of one
// answer carry one id.
func (t *try) tally(event back.Event) error {
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
	t.mark = markOf(chunk.Choices, event)
	if chunk.Usage != nil {
		t.usage = chunk.Usage
	}
	return nil
}

func (t *try) progress() {
	f := t.call.front
	now := f.Clock()
	if f.Progress == nil || now-t.reported < f.Settings.ProgressEvery {
		return
	}
	t.reported = now
	f.Progress(t.verdict, t.cost())
}

// passWhole holds an answer until it is whole; one over the bound is passed on as it comes and cut off on an error.
func (t *try) passWhole(a *back.Answer, model bool) error {
	c := t.call
	limit := c.front.Settings.PlainBytes
	t.first()
	held, err := io.ReadAll(io.LimitReader(a.Body, limit+1))
	if err != nil {
		return t.broken(err)
	}
	if int64(len(held)) > limit {
		return t.passLong(a, held)
	}
	if model {
		var answer struct {
			Usage *usage `json:"usage"`
		}
		if json.Unmarshal(held, &answer) == nil {
			t.usage = answer.Usage
		}
	}
	c.remember(a, held)
	length := int64(len(held))
	if c.request.Method == http.MethodHead {
		length = a.Length
	}
	if a.Status == http.StatusNoContent || a.Status == http.StatusNotModified {
		length = -1
	}
	c.begin(a, length)
	if _, err := c.writer.Write(held); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return t.callerLost(err)
	}
	return nil
}

// passLong passes on an answer that is too long to hold.
func (t *try) passLong(a *back.Answer, held []byte) error {
	c := t.call
	c.begin(a, a.Length)
	rest := io.MultiReader(bytes.NewReader(held), a.Body)
	part := make([]byte, 64<<10)
	for {
		n, err := rest.Read(part)
		if n > 0 {
			c.extend()
			if _, err := c.writer.Write(part[:n]); err != nil {
				return t.callerLost(err)
			}
			if err := c.control.Flush(); err != nil {
				return t.callerLost(err)
			}
		}
		if errors.Is(err, io.EOF) {
			c.remember(a, nil)
			c.record.Truncated = true
			return nil
		}
		if err != nil {
			c.sent = true
			e := c.failure(fleet.ReasonStreamBroken, t.broken(err))
			e.abort = true
			return e
		}
	}
}

// begin writes the answer's header.
func (c *call) begin(a *back.Answer, length int64) {
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
	c.extend()
	c.written = true
	c.writer.WriteHeader(a.Status)
}

// remember keeps an answer for the key's home.
func (c *call) remember(a *back.Answer, body []byte) {
	c.record = fleet.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: body}
	if len(body) > c.front.Settings.RecordBytes {
		c.record.Body, c.record.Truncated = nil, true
	}
}
