package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/router/back"
)

// answer is a server's answer to one attempt.
type answer struct {
	response *http.Response
	status   int
	told     Told
	body     []byte // once it is whole
}

func (a *answer) events() bool {
	return a.status == http.StatusOK && strings.HasPrefix(a.response.Header.Get("Content-Type"), "text/event-stream")
}

// header gives the answer's header to the caller.
func (a *answer) header(c *call, length int64) {
	h := c.writer.Header()
	passed := a.response.Header
	back.StripHop(passed)
	for name, values := range passed {
		if name != "Content-Length" {
			h[name] = values
		}
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.written = true
	c.writer.WriteHeader(a.status)
}

// write gives a whole answer to the caller.
func (a *answer) write(c *call) {
	length := int64(len(a.body))
	if c.request.Method == http.MethodHead {
		length = a.response.ContentLength
	}
	if a.status == http.StatusNoContent || a.status == http.StatusNotModified {
		length = -1
	}
	a.header(c, length)
	if len(a.body) > 0 {
		if _, err := c.writer.Write(a.body); err != nil {
			c.note("not delivered", "detail", err)
		}
	}
}

// passWhole holds an answer until it is whole and then passes it on.
func (c *call) passWhole(ctx context.Context, run *pool.Run, a *answer, result *pool.Result) error {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, answerBytes+1))
	if err != nil || len(body) > answerBytes {
		result.Failed, result.Left = true, ctx.Err() != nil
		return &attemptError{server: run.Server.ID, reason: fleet.ReasonStreamBroken, cause: err}
	}
	a.body = body
	c.relay.Gate.Began(run)
	if a.status >= http.StatusInternalServerError {
		result.Failed = true
		c.failed = a
		return &attemptError{server: run.Server.ID, reason: fleet.ReasonServerFailed}
	}
	a.write(c)
	c.ended(a.status, run.Server.ID)
	return nil
}

// passEvents hands on whole events as they come.
func (c *call) passEvents(ctx context.Context, run *pool.Run, a *answer, result *pool.Result) error {
	events := back.NewEvents(a.response.Body)
	control := http.NewResponseController(c.writer)
	first := true
	for {
		event, err := events.Next()
		if err != nil {
			if back.AtEnd(err) {
				if !c.written {
					a.header(c, -1)
				}
				c.ended(a.status, run.Server.ID)
				return nil
			}
			result.Failed, result.Left = true, ctx.Err() != nil
			return &attemptError{server: run.Server.ID, reason: fleet.ReasonStreamBroken, cause: err}
		}
		now := c.relay.Clock()
		if c.eventAt > 0 {
			c.pause = max(c.pause, now-c.eventAt)
		}
		c.eventAt = now
		if first {
			first = false
			c.relay.Gate.Began(run)
			c.note("began", "server", run.Server.ID, "after", c.relay.Clock()-c.arrived)
			c.relay.observe("firstEventMillis", c.relay.Clock()-c.arrived)
		}
		if !c.written {
			a.header(c, -1)
		}
		if _, err = c.writer.Write(event.Text); err == nil && !events.Ready() { // events that came together go on together
			err = control.Flush()
		}
		if err != nil {
			result.Left = true
			return err
		}
		if event.ID != "" {
			c.lastEvent = event.ID
		}
	}
}

// ended notes the end of a request that was answered.
func (c *call) ended(status int, server string) {
	c.relay.count("answered")
	c.relay.observe("wholeMillis", c.relay.Clock()-c.arrived)
	c.relay.lengths.learn(c.route.Name, c.relay.Clock()-c.arrived)
	c.note("answered", "server", server, "status", status, "lastEvent", c.lastEvent, "longestPause", c.pause, "after", c.relay.Clock()-c.arrived)
}

// note logs a decision on this request.
func (c *call) note(what string, fields ...interface{}) {
	if c.relay.Log == nil {
		return
	}
	c.relay.Log.Info(what, append([]interface{}{"request", c.asked.ID}, fields...)...)
}

// refuse gives the caller the last word on a request that no server answered.
func (c *call) refuse(e *refusal) {
	if e.reason == fleet.ReasonNone {
		return
	}
	c.relay.count(reasonCounter(e.reason))
	if !e.counted {
		c.noteRefused(e)
	}
	if e.cut || c.written { // an answer that has begun must not look whole
		panic(http.ErrAbortHandler)
	}
	h := c.writer.Header()
	c.relay.Dialect.Name(h, c.asked.ID)
	if e.after > 0 {
		h.Set("Retry-After", strconv.FormatFloat(e.after.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain")
	text := e.reason.String() + "\n"
	h.Set("Content-Length", strconv.Itoa(len(text)))
	c.writer.WriteHeader(e.status)
	if _, err := io.WriteString(c.writer, text); err != nil {
		c.note("refusal not delivered", "detail", err)
	}
}

// noteRefused logs a refusal with what decided it.
func (c *call) noteRefused(e *refusal) {
	route, version := "", int64(0)
	if c.table != nil {
		version = c.table.Config.Version
	}
	if c.route != nil {
		route = c.route.Name
	}
	c.note("refused", "reason", e.reason, "status", e.status, "route", route, "team", c.team, "configuration", version,
		"after", c.relay.Clock()-c.arrived, "sends", c.sends, "mayHaveRun", c.runs > 0, "retryAfter", e.after, "detail", e.detail)
}
