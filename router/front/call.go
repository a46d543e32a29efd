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
)

// Advice to callers when the waiting room gives none.
const (
	retryAfterLeast  = time.Second
	retryAfterSpread = time.Second
)

// call is one caller's request on its way through the router.
type call struct {
	front   *Front
	writer  http.ResponseWriter
	request *http.Request
	control *http.ResponseController

	id       string
	arrived  time.Duration
	deadline time.Duration
	rules    *conf.InForce // stamped on arrival
	team     *rule.Team
	product  *rule.Product
	target   string // path and query for the backend server
	body     []byte
	held     int64 // bytes reserved for the body
	once     bool  // the call may not be repeated
	key      string
	stream   bool // the caller asked for server-sent events
	prompt   int64
	prefix   uint64
	tries    int
	sent     bool          // a byte of some attempt may have left and its server did not deny that it ran
	vouched  bool          // the key's home has said that no earlier try ran
	asked    time.Duration // when the key's home was asked
	record   fleet.Answer  // what the key's home shall record
	written  bool          // the answer's header has gone to the caller
	relayed  relayed       // of a stream
}

// named reports a request whose caller gave it an idempotency key.
func (c *call) named() bool { return c.request.Header.Get(headerKey) != "" }

// keyed reports a non-idempotent request with a key.
func (c *call) keyed() bool { return c.once && c.key != "" }

// turnDown refuses a request of which this router has sent nothing.
//
// With a key the refusal speaks of the key: an earlier try may have run through
// another router, so "not run" is said only once the key's home has vouched for it.
func (c *call) turnDown(reason fleet.Reason, message string) *Refusal {
	notRun := !c.sent
	switch {
	case c.product == nil:
		notRun = notRun && !c.named()
	case c.keyed():
		notRun = notRun && c.vouched
	}
	return &Refusal{Reason: reason, NotRun: notRun, Message: message, RetryAfter: comeBack()}
}

// failure refuses a request after a failed attempt.
func (c *call) failure(reason fleet.Reason, failed *back.ServerError) *Refusal {
	e := c.turnDown(reason, "the last try ended as "+failed.Reason.String())
	e.detail = failed.Error()
	return e
}

// comeBack spreads the advice so that callers that were refused together don't return together.
func comeBack() time.Duration {
	return retryAfterLeast + rand.N(retryAfterSpread)
}

// refuse writes a refusal, or what is left to say when the answer has begun.
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
	if c.written {
		if c.relayed.begun && e.Reason != fleet.ReasonCallerGone && e.Reason != fleet.ReasonSlowCaller {
			c.endStream(e)
		}
		return
	}
	c.extend()
	if err := e.write(c.writer, c.id); err != nil && f.Log != nil {
		f.Log.Debug("refusal not delivered", "request", c.id, "error", err)
	}
}

// extend gives the caller time to take the next part of its answer.
func (c *call) extend() {
	_ = c.control.SetWriteDeadline(time.Now().Add(c.front.Settings.WriteTimeout)) // unsupported only by test recorders
}

// note records a step for operators.
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

// names gives the team and the product, as far as they are known.
func (c *call) names() (team, product string) {
	if c.team != nil {
		team = c.team.Name
	}
	if c.product != nil {
		product = c.product.Name
	}
	return team, product
}

func (c *call) release() {
	if c.held > 0 {
		c.front.open.release(c.held)
	}
}
