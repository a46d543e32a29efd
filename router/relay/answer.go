package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/router/back"
	"mangolug.org/router/sock"
)

// answer is a server's answer to one attempt.
type answer struct {
	response *http.Response
	status   int
	info     ResponseInfo
	progress *progress
	body     []byte // set once it is complete
}

func (a *answer) isEventStream() bool {
	return a.status == http.StatusOK && back.IsEventStream(a.response.Header)
}

// writeHeader sends the answer's header to the caller. A negative length sets no Content-Length.
func (a *answer) writeHeader(c *call, length int64) {
	h := c.writer.Header()
	header := a.response.Header
	back.StripHopByHop(header)
	for name, values := range header {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.headerWritten = true
	c.writer.WriteHeader(a.status)
}

// write sends a complete answer to the caller.
func (a *answer) write(c *call) {
	length := int64(len(a.body))
	if c.request.Method == http.MethodHead {
		length = a.response.ContentLength
	}
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		length = -1
	}
	a.writeHeader(c, length)
	if len(a.body) > 0 {
		if _, err := c.writer.Write(a.body); err != nil {
			c.log("not delivered", "detail", err)
		}
	}
}

// forwardWhole buffers an answer until it is complete and then sends it to the caller.
func (c *call) forwardWhole(ctx context.Context, run *pool.Run, a *answer, result *pool.Result) error {
	end := &bodyEnd{reader: a.response.Body}
	held := c.holdAnswer(a)
	body, err := held.readAll(end, a.response.ContentLength, answerLimit, c.answersLimit())
	a.progress.recordEnd(end.err)
	if err != nil || len(body) > answerLimit {
		held.release()
		result.Failed, result.Broken, result.CallerGone = true, err != nil && !c.countFull(err), ctx.Err() != nil
		return &attemptError{server: run.Server.ID, reason: fleet.ReasonStreamBroken, cause: err}
	}
	if a.progress.framing == back.FramingConnection && c.hasSecondAnswer(body) {
		return c.foreign(run, a, result, errSecondAnswer)
	}
	if err := c.confirmEnd(ctx, run, a, result); err != nil {
		return err
	}
	a.body = body
	c.relay.Gate.Began(run)
	if a.status >= http.StatusInternalServerError {
		result.Failed = true
		c.serverFailure = a
		return &attemptError{server: run.Server.ID, reason: fleet.ReasonServerFailed}
	}
	a.write(c)
	c.recordAnswered(a, run.Server.ID)
	return nil
}

// forwardEvents sends complete events to the caller as they arrive.
func (c *call) forwardEvents(ctx context.Context, run *pool.Run, a *answer, result *pool.Result) error {
	end := &bodyEnd{reader: a.response.Body}
	events := back.NewEvents(end)
	held := c.holdAnswer(a)
	events.Grow = func(bytes int) error { return held.resize(eventCopies*int64(bytes), c.answersLimit()) }
	controller := http.NewResponseController(c.writer)
	first, resumes := true, c.order.last != "" && c.headerWritten
	for {
		event, err := events.Next()
		if err != nil {
			a.progress.recordEnd(end.err)
			return c.streamEnded(ctx, run, a, result, held.cutOff(err))
		}
		if a.progress.framing == back.FramingConnection && event.Foreign {
			err = errSecondAnswer
		} else {
			err = c.order.accept(event, resumes)
		}
		if err != nil {
			if c.headerWritten {
				_ = controller.Flush() // of the events before it; the next write reports that the caller has gone
			}
			return c.foreign(run, a, result, err)
		}
		resumes = resumes && event.Comment
		now := c.relay.Clock()
		if c.lastEventAt > 0 {
			c.longestPause = max(c.longestPause, now-c.lastEventAt)
		}
		c.lastEventAt = now
		run.Event(now)
		if first {
			first = false
			c.relay.Gate.Began(run)
			c.recordBegin(pool.VersionID(run.Server.Version))
			a.progress.firstEvent = event.ID
			c.logBegan(run, a)
			c.relay.observe("firstEventMillis", c.relay.Clock()-c.arrived)
		}
		if !c.headerWritten {
			a.writeHeader(c, -1)
		}
		if _, err = c.writer.Write(event.Text); err == nil && !events.Ready() { // events that arrived together are flushed together
			err = controller.Flush()
		}
		if err != nil {
			result.CallerGone = true
			return err
		}
		if len(event.Text) > smallAnswer/eventCopies {
			held.release()
		}
	}
}

// holdAnswer returns the memory of an answer, which is counted until the request ends.
func (c *call) holdAnswer(a *answer) *heldAnswer {
	held := c.relay.answers.begin(func() { back.CloseConnection(a.response) })
	c.answers = append(c.answers, held)
	return held
}

// answersLimit returns the limit in bytes of the memory of all answers; 0 means no limit.
func (c *call) answersLimit() int64 {
	if c.relay.AnswersLimit == nil {
		return 0
	}
	return c.relay.AnswersLimit()
}

// countFull counts an answer that was cut off for its memory, and reports whether it was. Its server has not ended.
func (c *call) countFull(err error) bool {
	var full *answersFullError
	if !errors.As(err, &full) {
		return false
	}
	c.relay.count("answers.full")
	return true
}

// errSecondAnswer is returned when an answer without a length breaks off and another one follows on its connection.
var errSecondAnswer = errors.New("the header of another answer stands in it")

// foreign handles what is no part of the caller's answer: nothing more of the server's answer is passed on.
func (c *call) foreign(run *pool.Run, a *answer, result *pool.Result, err error) error {
	var order *OrderError
	if errors.As(err, &order) {
		a.progress.outOfOrder++
		c.relay.count(eventIDCounter(order.Step))
	}
	a.progress.recordEnd(nil)
	back.CloseConnection(a.response)
	result.Failed = true
	return &attemptError{server: run.Server.ID, reason: fleet.ReasonForeignAnswer, cause: err}
}

// recordAnswered updates counters, durations and the log for an answered request.
func (c *call) recordAnswered(a *answer, server string) {
	c.relay.count("answered")
	c.relay.observe("wholeMillis", c.relay.Clock()-c.arrived)
	c.relay.durations.observe(c.route.Name, c.relay.Clock()-c.arrived)
	c.log("answered", append([]interface{}{
		"server", server, "status", a.status, "lastEvent", c.order.last, "longestPause", c.longestPause, "after", c.relay.Clock() - c.arrived,
	}, a.progress.fields()...)...)
}

// logBegan logs the first event of an attempt's answer.
func (c *call) logBegan(run *pool.Run, a *answer) {
	fields := []interface{}{"server", run.Server.ID, "after", c.relay.Clock() - c.arrived, "framing", a.progress.framing, "firstEvent", a.progress.firstEvent}
	if a.progress.resumedAfter != "" {
		fields = append(fields, "resumedAfter", a.progress.resumedAfter)
	}
	c.log("began", fields...)
}

// log logs a decision about this request.
func (c *call) log(message string, fields ...interface{}) {
	if c.relay.Log == nil {
		return
	}
	c.relay.Log.Info(message, append([]interface{}{"request", c.info.ID}, fields...)...)
}

// refuse sends the router's own answer to a request that no server answered.
func (c *call) refuse(e *refusal) {
	if e.reason == fleet.ReasonNone {
		return
	}
	c.relay.count(refusalCounter(e.reason))
	if !e.summarized {
		c.logRefusal(e)
	}
	if e.abort || c.headerWritten { // an answer that has begun must not look complete
		c.abort()
	}
	h := c.writer.Header()
	c.relay.HeaderCodec.SetRequestID(h, c.info.ID)
	if e.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.retryAfter.Seconds(), 'f', 3, 64))
	}
	h["Content-Type"] = textPlain
	text := e.reason.String()
	h.Set("Content-Length", strconv.Itoa(len(text)+len(lineEnd)))
	c.writer.WriteHeader(e.status)
	_, err := io.WriteString(c.writer, text)
	if err == nil {
		_, err = io.WriteString(c.writer, lineEnd)
	}
	if err != nil {
		c.log("refusal not delivered", "detail", err)
	}
}

// textPlain is the Content-Type of refusals, shared by all of them.
var textPlain = []string{"text/plain"}

// lineEnd ends the text of a refusal.
const lineEnd = "\n"

// abort ends the caller's connection so that its answer looks incomplete. Answers to HTTP/1.0 callers have no chunks, and end in order
// unless their connection is reset.
func (c *call) abort() {
	if !c.request.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(c.writer).Hijack(); err == nil { // unsupported only by test recorders
			_ = sock.Reset(conn) // a connection that can't be reset is already broken
		}
	}
	panic(http.ErrAbortHandler)
}

// logRefusal logs a refusal and the data that it is based on.
func (c *call) logRefusal(e *refusal) {
	route, version := "", int64(0)
	if c.table != nil {
		version = c.table.Config.Version
	}
	if c.route != nil {
		route = c.route.Name
	}
	fields := []interface{}{
		"reason", e.reason, "status", e.status, "route", route, "team", c.team, "configuration", version,
		"after", c.relay.Clock() - c.arrived, "sends", c.sends, "mayHaveRun", c.runs > 0, "retryAfter", e.retryAfter, "detail", e.detail,
	}
	if c.info.BegunBy != "" {
		fields = append(fields, "begunBy", c.info.BegunBy)
	}
	c.log("refused", fields...)
}
