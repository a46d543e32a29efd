package front

import (
	"math/rand/v2"
	"net/http"
	"time"

	"mangolug.org/core/conf"
	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
	"mangolug.org/core/rule"
	"mangolug.org/router/back"
	"mangolug.org/router/sock"
)

// Range of Retry-After when the queue suggests no delay.
const (
	minRetryAfter  = time.Second
	maxRetryJitter = time.Second
)

// call is one request of a caller.
type call struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController

	id            string
	arrived       time.Duration
	deadline      time.Duration
	rules         *conf.InForce // the configuration in force on arrival
	team          *rule.Team
	product       *rule.Product
	target        string // path and query for the backend server
	body          []byte
	reservedBytes int64 // bytes reserved for the body
	nonIdempotent bool  // the call must not be repeated
	key           string
	stream        bool // the caller asked for server-sent events
	promptTokens  int64
	prefixHash    uint64
	attempts      int
	mayHaveRun    bool            // part of an attempt may have been sent, and its server did not report that it was not run
	permitted     bool            // the key's home has confirmed that no earlier attempt ran
	openedAt      time.Duration   // when the key's home was last queried
	record        fleet.Answer    // the answer that the key's home is to record
	headerWritten bool            // the answer's header has been written to the caller
	delivered     deliveredStream // the part of a stream that was sent to the caller
}

// hasKey reports whether the caller sent an idempotency key.
func (c *call) hasKey() bool { return c.request.Header.Get(headerKey) != "" }

// keyed reports whether the call is non-idempotent and has an idempotency key.
func (c *call) keyed() bool { return c.nonIdempotent && c.key != "" }

// newRefusal returns a refusal with the reason and message. NotRun is set only if this router sent nothing that may have run.
//
// The refusal of a keyed call makes a statement about the key: an earlier attempt may have
// run through another router, so NotRun is set only after the key's home has confirmed it.
func (c *call) newRefusal(reason fleet.Reason, message string) *Refusal {
	notRun := !c.mayHaveRun
	switch {
	case c.product == nil:
		notRun = notRun && !c.hasKey()
	case c.keyed():
		notRun = notRun && c.permitted
	}
	return &Refusal{Reason: reason, NotRun: notRun, Message: message, RetryAfter: retryAfter()}
}

// attemptRefusal returns the refusal of a request whose attempt failed.
func (c *call) attemptRefusal(reason fleet.Reason, failed *back.ServerError) *Refusal {
	e := c.newRefusal(reason, "the last try ended as "+failed.Reason.String())
	e.detail = failed.Error()
	return e
}

// retryAfter returns a random delay, so that callers refused together do not return together.
func retryAfter() time.Duration {
	return minRetryAfter + rand.N(maxRetryJitter)
}

// refuse writes a refusal. An answer that has begun is aborted instead, after an error event if it is a stream: callers that do
// not know the event must not take the part that they have for a whole answer.
func (c *call) refuse(e *Refusal) {
	f := c.front
	f.count("refused." + e.Reason.String())
	detail := e.Message
	if e.detail != "" {
		detail = e.detail
	}
	c.note("refused", e.Reason, "", detail)
	if f.Log != nil {
		team, product := c.names()
		f.Log.Info("refused", "request", c.id, "team", team, "product", product, "reason", e.Reason, "notRun", e.NotRun, "detail", detail)
	}
	if c.headerWritten {
		callerLost := e.Reason == fleet.ReasonCallerGone || e.Reason == fleet.ReasonSlowCaller
		if c.delivered.started && !callerLost {
			c.writeErrorEvent(e)
		}
		c.abort()
		return
	}
	c.extendWriteDeadline()
	if err := e.write(c.writer, c.id); err != nil && f.Log != nil {
		f.Log.Debug("refusal not delivered", "request", c.id, "error", err)
	}
}

// abort ends the answer so that the caller sees that it is truncated. A caller of HTTP/1.0 takes the end of its connection for
// the end of an answer that has no length, so its connection is reset. A caller that closed only its direction of the connection
// counts as gone, but still reads.
func (c *call) abort() {
	if !c.request.ProtoAtLeast(1, 1) {
		if conn, _, err := c.control.Hijack(); err == nil {
			_ = sock.Reset(conn) // a connection that can't be reset is already broken
		}
	}
	panic(http.ErrAbortHandler)
}

// extendWriteDeadline gives the caller another WriteTimeout to read the next part of its answer.
func (c *call) extendWriteDeadline() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.front.Settings.WriteTimeout)) // only test recorders do not support it
}

// note logs and records a step of the request for operators.
func (c *call) note(what string, reason fleet.Reason, server, detail string) {
	if c.front.Log != nil {
		c.front.Log.Debug(what, "request", c.id, "reason", reason, "server", server, "detail", detail)
	}
	if c.front.Note == nil {
		return
	}
	team, product := c.names()
	c.front.Note(c.id, team, product, report.Step{
		AtMillis: (c.front.Clock() - c.arrived).Milliseconds(),
		What:     what, Reason: reason, Server: server, Detail: detail,
	})
}

// names returns the names of the team and the product, each empty while unknown.
func (c *call) names() (team, product string) {
	if c.team != nil {
		team = c.team.Name
	}
	if c.product != nil {
		product = c.product.Name
	}
	return team, product
}

func (c *call) releaseBody() {
	if c.reservedBytes > 0 {
		c.front.open.releaseBytes(c.reservedBytes)
	}
}
