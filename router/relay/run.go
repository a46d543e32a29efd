package relay

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/router/back"
)

// run sees a request through to its answer; a refusal says why there is none.
func (c *call) run(ctx context.Context) *refusal {
	c.relay.first(c.service)
	for {
		v := c.relay.Gate.Admit(ctx, c.ask())
		if v.Run == nil {
			return c.turnedDown(ctx, v)
		}
		if c.gone() {
			c.relay.Gate.Ended(v.Run, pool.Result{Left: true})
			return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: "before it was sent", cut: true}
		}
		if e := c.relocate(); e != nil || c.service != v.Run.Server.Service {
			c.relay.Gate.Ended(v.Run, pool.Result{Left: true})
			if e != nil {
				return e
			}
			continue
		}
		c.sends++
		c.note("sent", "team", c.team, "server", v.Run.Server.ID, "dataCentre", v.Run.Server.DataCentre, "waited", v.Waited, "backlog", v.Backlog,
			"unread", v.Run.Unread, "again", v.Run.Again, "home", v.Run.Home, "pace", v.Pace, "prompt", c.asked.Prompt, "output", c.asked.Output, "hint", c.asked.Hint, "cold", v.Run.Cold, "send", c.sends)
		err := c.attempt(ctx, v.Run)
		if err == nil {
			return nil
		}
		if e := c.after(ctx, err); e != nil {
			return e
		}
	}
}

// turnedDown turns the pool's refusal into the caller's.
func (c *call) turnedDown(ctx context.Context, v pool.Verdict) *refusal {
	if ctx.Err() != nil {
		return c.over(ctx, "while it waited for a server")
	}
	detail := "waited " + v.Waited.Round(time.Millisecond).String() + ", backlog " + v.Backlog.Round(time.Millisecond).String()
	return c.failure(v.Reason, detail, v.RetryAfter)
}

// over ends a request whose caller left, whose time is up, or whose router stops.
func (c *call) over(ctx context.Context, detail string) *refusal {
	switch {
	case c.request.Context().Err() != nil:
		return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: detail, cut: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e := c.failure(fleet.ReasonDeadlinePassed, detail, 0)
		e.status = http.StatusGatewayTimeout
		return e
	}
	return c.failure(fleet.ReasonStopped, detail, stoppedAfter)
}

// stoppedAfter is the advice to come back to another router at once.
const stoppedAfter = 20 * time.Millisecond

// failure ends a request; only one that surely did not run is told so by its status.
func (c *call) failure(reason fleet.Reason, detail string, after time.Duration) *refusal {
	e := &refusal{reason: reason, detail: detail, status: http.StatusBadGateway, cut: c.written}
	if c.runs == 0 {
		e.status, e.after = http.StatusServiceUnavailable, after
	}
	return e
}

// attemptError says how an attempt at a server failed.
type attemptError struct {
	server string
	reason fleet.Reason
	notRun bool // it is certain that the server did not run the request
	cause  error
}

// Error gives the server, the reason and the cause.
func (e *attemptError) Error() string {
	text := "server " + e.server + ": " + e.reason.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// after decides whether a failed attempt is followed by another; nil means that it is.
func (c *call) after(ctx context.Context, err error) *refusal {
	var failed *attemptError
	if !errors.As(err, &failed) {
		return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: err.Error(), cut: true}
	}
	c.tried = append(c.tried, failed.server)
	if !failed.notRun {
		c.runs++
	}
	if ctx.Err() != nil {
		return c.over(ctx, err.Error())
	}
	c.note("failed", "server", failed.server, "reason", failed.reason, "notRun", failed.notRun, "detail", err.Error(), "lastEvent", c.lastEvent)
	if failed.reason == fleet.ReasonGrantExpired {
		c.sends-- // nothing was sent
		return nil
	}
	switch {
	case c.runs > 0 && !c.route.Idempotent(), c.runs >= max(1, c.route.Attempts):
		return c.last(failed)
	case c.sends >= sendsMost:
		return c.last(failed)
	case !c.relay.again(c.service):
		e := c.last(failed)
		if e.reason != fleet.ReasonNone {
			e.reason = fleet.ReasonRetryBudget
		}
		return e
	}
	c.relay.count("retried." + failed.reason.String())
	return nil
}

// sendsMost bounds how often one request is sent: several servers in a row that did not run it tell that many have gone, and
// trying them one by one uses up the budget of all.
const sendsMost = 3

// last ends a request that is not sent again: with the server's own failure if it gave one.
func (c *call) last(failed *attemptError) *refusal {
	if c.failed != nil && !c.written {
		c.failed.write(c)
		c.ended(c.failed.status, failed.server)
		c.failed = nil
		return &refusal{reason: fleet.ReasonNone}
	}
	return c.failure(failed.reason, failed.Error(), retryElsewhere)
}

// retryElsewhere is the advice after servers that did not run a request: about the time until they are known to be full.
const retryElsewhere = 250 * time.Millisecond

// outgoing builds the request for a server.
func (c *call) outgoing(ctx context.Context, run *pool.Run) *http.Request {
	path, query, hasQuery := strings.Cut(c.request.RequestURI, "?")
	h := c.request.Header.Clone()
	back.StripHop(h)
	h.Del("Expect")
	h.Del("Content-Length")
	c.relay.Dialect.Write(h, Sending{
		Server: run.Server.ID, Team: c.team, Left: c.deadline - c.relay.Clock(), LastEvent: c.lastEvent,
	})
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = nil // or net/http names itself
	}
	out := &http.Request{
		Method: c.request.Method, Host: c.request.Host, Header: h,
		URL: &url.URL{Scheme: "http", Host: run.Server.Address, Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""},
	}
	if len(c.body) > 0 {
		back.SetBody(out, c.body)
	}
	return out.WithContext(ctx)
}

// attempt sends the request to one server and passes its answer on; its errors are of type *attemptError, or the caller's.
func (c *call) attempt(ctx context.Context, run *pool.Run) error {
	result := pool.Result{}
	defer func() { c.relay.Gate.Ended(run, result) }()
	send, cancel := context.WithCancel(ctx)
	defer cancel()
	begun := c.relay.Clock()
	response, err := c.relay.Client.Do(c.outgoing(send, run), run.Server.ID, !c.route.Idempotent(), c.lapsed(run))
	if err != nil {
		var failed *back.ServerError
		errors.As(err, &failed)
		result.Left = ctx.Err() != nil || failed.Reason == fleet.ReasonGrantExpired
		result.Lost = !failed.Sent
		result.Failed = true
		return &attemptError{server: run.Server.ID, reason: failed.Reason, notRun: failed.NotRun, cause: failed.Err}
	}
	defer response.Body.Close()
	a := &answer{response: response, status: response.StatusCode, told: c.relay.Dialect.Told(response.Header)}
	c.hear(run, a)
	if err := c.check(run, a, &result); err != nil {
		if a.told.ID != c.asked.ID {
			back.Spoil(response)
		}
		return err
	}
	c.relay.observe("firstHeaderMillis", c.relay.Clock()-begun)
	if a.events() {
		return c.passEvents(ctx, run, a, &result)
	}
	return c.passWhole(ctx, run, a, &result)
}

// gone reports that the caller has closed its connection.
func (c *call) gone() bool { return c.relay.Gone != nil && c.relay.Gone(c.request) }

// lapsed tells, just before the first byte is sent, that the server has begun to leave or the caller has left: between the
// choice and the write there may be a new connection, and a wait for the processor.
func (c *call) lapsed(run *pool.Run) func() bool {
	return func() bool {
		if c.gone() {
			return true
		}
		open := true
		c.relay.Gate.With(func(now time.Duration, p *pool.Pool) { open = p.Open(now, run) })
		return !open
	}
}

// hear takes in what an answer says of its server, if it is that server's: it may be one that has its address now, or the
// answer to another request.
func (c *call) hear(run *pool.Run, a *answer) {
	if a.told.Odd != "" {
		c.relay.count("oddHeaders")
		c.note("odd header", "server", run.Server.ID, "header", a.told.Odd)
	}
	if a.status == http.StatusMisdirectedRequest || a.told.ID != c.asked.ID {
		return
	}
	rest := a.told.RestFor
	if a.status != http.StatusServiceUnavailable {
		rest = 0
	}
	if !a.told.HasLoad && a.told.ColdFor == 0 && !a.told.Leaving && rest == 0 {
		return
	}
	c.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
		if a.told.HasLoad {
			p.Told(now, run, a.told.Load)
		}
		if a.told.ColdFor > 0 {
			p.Cold(now, run.Server.ID, a.told.ColdFor)
		}
		if a.told.Leaving {
			p.Leaving(now, run)
		}
		if rest > 0 {
			p.Rest(now, run, rest)
		}
	})
}

// check tells an answer of the server that was asked from anything else.
func (c *call) check(run *pool.Run, a *answer, result *pool.Result) error {
	fail := func(reason fleet.Reason, notRun bool) error {
		return &attemptError{server: run.Server.ID, reason: reason, notRun: notRun, cause: errors.New("status " + strconv.Itoa(a.status))}
	}
	switch {
	case a.status == http.StatusMisdirectedRequest:
		result.Another = true
		return fail(fleet.ReasonServerLeaving, true)
	case a.told.NotRun:
		result.Rejected = true
		return fail(fleet.ReasonServerOverloaded, true)
	case a.told.ID != c.asked.ID, a.response.Header.Get("Content-Encoding") != "":
		result.Failed = true
		return fail(fleet.ReasonForeignAnswer, false)
	case !a.told.Signed && a.status < http.StatusInternalServerError:
		result.Failed = true
		return fail(fleet.ReasonForeignAnswer, false)
	case !a.told.Signed && a.status == http.StatusServiceUnavailable:
		// Nothing says that the request did not run, so the status must not say so either.
		result.Failed = true
		return fail(fleet.ReasonServerFailed, false)
	}
	return nil
}
