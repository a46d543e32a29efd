package relay

import (
	"context"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/router/back"
)

// run sends a request to servers until one answers. It returns a refusal if none does.
func (c *call) run(ctx context.Context) *refusal {
	c.relay.countFirstSend(c.service)
	for {
		v := c.relay.Gate.Admit(ctx, c.admission())
		if v.Run == nil {
			return c.poolRefusal(ctx, v)
		}
		if c.callerGone() {
			c.relay.Gate.Ended(v.Run, pool.Result{CallerGone: true})
			return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: "before it was sent", abort: true}
		}
		if e := c.tooLate(); e != nil {
			c.relay.Gate.Ended(v.Run, pool.Result{CallerGone: true})
			return e
		}
		if e := c.resolveAgain(); e != nil || c.service != v.Run.Server.Service {
			c.relay.Gate.Ended(v.Run, pool.Result{CallerGone: true})
			if e != nil {
				return e
			}
			continue
		}
		c.sends++
		c.progress = &progress{resumedAfter: c.order.last}
		c.logSent(v)
		err := c.attempt(ctx, v.Run)
		if err == nil {
			return nil
		}
		if e := c.afterFailure(ctx, err); e != nil {
			return e
		}
	}
}

// logSent logs that the request goes to the server that the pool chose.
func (c *call) logSent(v pool.Decision) {
	fields := []interface{}{
		"team", c.team, "server", v.Run.Server.ID, "dataCentre", v.Run.Server.DataCentre, "waited", v.Waited, "backlog", v.Backlog,
		"unread", v.Run.PrefillTokens, "again", v.Run.SharedPrefillTokens, "home", v.Run.Home, "pace", v.PrefillRate, "speed", v.Speed, "moment", v.Moment, "prompt", c.info.Prompt,
		"output", c.info.Output, "hint", c.info.LengthHint, "cold", v.Run.Cold, "send", c.sends,
	}
	if v.Run.Server.Version != "" {
		fields = append(fields, "version", v.Run.Server.Version)
	}
	if c.progress.resumedAfter != "" {
		fields = append(fields, "resumedAfter", c.progress.resumedAfter)
	}
	if c.info.BegunBy != "" {
		fields = append(fields, "begunBy", c.info.BegunBy)
	}
	if c.info.Prompt > 0 {
		c.relay.observeValue("serverSpeedPercent", int64(math.Round(100*v.Speed)))
	}
	c.log("sent", fields...)
}

// poolRefusal returns the refusal for a request that the pool did not admit.
func (c *call) poolRefusal(ctx context.Context, v pool.Decision) *refusal {
	if ctx.Err() != nil {
		return c.interrupted(ctx, "while it waited for a server")
	}
	detail := "waited " + v.Waited.Round(time.Millisecond).String() + ", backlog " + v.Backlog.Round(time.Millisecond).String()
	e := c.failure(v.Reason, detail, v.RetryAfter)
	if v.Reason == fleet.ReasonTeamShare {
		e.summarized = !c.relay.overShareCounter.addUnlogged(c.team)
	}
	return e
}

// interrupted returns the refusal for a request whose caller left, whose deadline passed or whose router stops.
func (c *call) interrupted(ctx context.Context, detail string) *refusal {
	switch {
	case c.request.Context().Err() != nil:
		return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: detail, abort: true}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		e := c.failure(fleet.ReasonDeadlinePassed, detail, 0)
		e.status = http.StatusGatewayTimeout
		return e
	}
	return c.failure(fleet.ReasonStopped, detail, otherRouterRetryAfter)
}

// otherRouterRetryAfter is the Retry-After for an immediate retry at another router.
const otherRouterRetryAfter = 20 * time.Millisecond

// failure returns the refusal for a failed request. Its status is 503 only if it is certain that no server ran the request.
func (c *call) failure(reason fleet.Reason, detail string, retryAfter time.Duration) *refusal {
	e := &refusal{reason: reason, detail: detail, status: http.StatusBadGateway, abort: c.headerWritten}
	if c.runs == 0 {
		e.status, e.retryAfter = http.StatusServiceUnavailable, retryAfter
	}
	return e
}

// attemptError describes a failed attempt at a server.
type attemptError struct {
	server string
	reason fleet.Reason
	notRun bool // it is certain that the server did not run the request
	cause  error
}

// Error returns a message with the server, the reason and the cause.
func (e *attemptError) Error() string {
	text := "server " + e.server + ": " + e.reason.String()
	if e.cause != nil {
		text += ": " + e.cause.Error()
	}
	return text
}

// afterFailure decides whether a failed attempt is retried. It returns nil for a retry.
func (c *call) afterFailure(ctx context.Context, err error) *refusal {
	var failed *attemptError
	if !errors.As(err, &failed) {
		return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: err.Error(), abort: true}
	}
	c.tried = append(c.tried, failed.server)
	if !failed.notRun {
		c.runs++
	}
	if ctx.Err() != nil {
		return c.interrupted(ctx, err.Error())
	}
	c.logFailed(failed)
	if failed.reason == fleet.ReasonGrantExpired {
		c.sends-- // nothing was sent
		return nil
	}
	switch {
	case c.headerWritten && c.order.blind:
		return c.finalRefusal(failed)
	case c.runs > 0 && !c.route.Idempotent(), c.runs >= max(1, c.route.Attempts):
		return c.finalRefusal(failed)
	case c.sends >= maxSends:
		return c.finalRefusal(failed)
	case !c.relay.takeRetry(c.service):
		e := c.finalRefusal(failed)
		if e.reason != fleet.ReasonNone {
			e.reason = fleet.ReasonRetryBudget
		}
		return e
	}
	c.relay.count("retried." + failed.reason.String())
	return nil
}

// logFailed logs a failed attempt, with what shows whether the same request or the same prompt parts failed before.
func (c *call) logFailed(failed *attemptError) {
	fields := []interface{}{
		"server", failed.server, "reason", failed.reason, "notRun", failed.notRun, "detail", failed.Error(),
		"fingerprint", strconv.FormatUint(c.fingerprint, 16), "lastEvent", c.order.last,
	}
	if shared := pool.SharedSegments(c.info.Segments); len(shared) > 0 {
		fields = append(fields, "parts", pool.PartNames(shared))
	}
	c.log("failed", append(fields, c.progress.fields()...)...)
}

// maxSends is the largest number of times that one request is sent. If several servers in a row did not run it, many are probably
// gone, and trying them one by one would use up the retry budget of all requests.
const maxSends = 3

// finalRefusal ends a request that is not retried. It passes on the server's own failure answer if there is one.
func (c *call) finalRefusal(failed *attemptError) *refusal {
	if c.serverFailure != nil && !c.headerWritten {
		c.serverFailure.write(c)
		c.recordAnswered(c.serverFailure, failed.server)
		c.serverFailure = nil
		return &refusal{reason: fleet.ReasonNone}
	}
	return c.failure(failed.reason, failed.Error(), notRunRetryAfter)
}

// notRunRetryAfter is the Retry-After when the servers did not run a request: about the time until they are known to be full.
const notRunRetryAfter = 250 * time.Millisecond

// outgoing returns the HTTP request to send to a server.
func (c *call) outgoing(ctx context.Context, run *pool.Run) *http.Request {
	path, query, hasQuery := strings.Cut(c.request.RequestURI, "?")
	h := c.request.Header.Clone()
	back.StripHopByHop(h)
	h.Del("Expect")
	h.Del("Content-Length")
	c.relay.HeaderCodec.WriteRequest(h, Outgoing{
		Server: run.Server.ID, Team: c.team, Timeout: c.deadline - c.relay.Clock(), LastEvent: c.order.last,
	})
	if h.Get("User-Agent") == "" {
		h["User-Agent"] = nil // otherwise net/http sets its own
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

// attempt sends the request to one server and passes its answer on. It returns an *attemptError, or an error of writing to the caller.
func (c *call) attempt(ctx context.Context, run *pool.Run) error {
	result := pool.Result{}
	defer func() {
		c.relay.Gate.Ended(run, result)
		if result.Broken {
			c.relay.confirmCrash(run)
		}
	}()
	send, cancel := context.WithCancel(ctx)
	defer cancel()
	started := c.relay.Clock()
	response, err := c.relay.Client.Do(c.outgoing(send, run), run.Server.ID, !c.route.Idempotent(), c.abandoned(run))
	if err != nil {
		var failed *back.ServerError
		errors.As(err, &failed)
		result.CallerGone = ctx.Err() != nil || failed.Reason == fleet.ReasonGrantExpired
		result.ConnectFailed = !failed.Sent
		result.Failed, result.Broken = true, failed.Reason == fleet.ReasonServerFailed
		return &attemptError{server: run.Server.ID, reason: failed.Reason, notRun: failed.NotRun, cause: failed.Err}
	}
	defer response.Body.Close()
	a := &answer{response: response, status: response.StatusCode, info: c.relay.HeaderCodec.ParseResponse(response.Header), progress: c.progress}
	c.progress.framing = back.FramingOf(c.request.Method, response)
	if c.progress.framing == back.FramingConnection {
		c.relay.count("unframedAnswers")
	}
	c.observeServer(run, a)
	if err := c.verify(run, a, &result); err != nil {
		if a.info.ID != c.info.ID || a.info.NotRun || a.status == http.StatusMisdirectedRequest {
			// A second copy of this answer would be read as that of the next request, which may be this one again.
			back.CloseConnection(response)
		}
		return err
	}
	c.relay.observe("firstHeaderMillis", c.relay.Clock()-started)
	run.Answered()
	if a.isEventStream() {
		return c.forwardEvents(ctx, run, a, &result)
	}
	if c.headerWritten {
		result.Failed = a.status >= http.StatusInternalServerError
		cause := errors.Errorf("status %d, content type %q in answer to the rest of a stream", a.status, a.response.Header.Get("Content-Type"))
		return &attemptError{server: run.Server.ID, reason: fleet.ReasonServerFailed, cause: cause}
	}
	return c.forwardWhole(ctx, run, a, &result)
}

// callerGone reports whether the caller has closed its connection.
func (c *call) callerGone() bool { return c.relay.CallerGone != nil && c.relay.CallerGone(c.request) }

// abandoned returns a function that is called just before the first byte is sent. It reports whether the server has begun to leave or
// the caller has left, as opening a connection or waiting for the processor may delay the write after the server was chosen.
func (c *call) abandoned(run *pool.Run) func() bool {
	return func() bool {
		if c.callerGone() {
			return true
		}
		open := true
		c.relay.Gate.With(func(now time.Duration, p *pool.Pool) { open = p.Accepting(now, run) })
		return !open
	}
}

// observeServer reports the server state in an answer's header to the pool. It ignores an answer of a different server that now has
// the address and an answer to another request.
func (c *call) observeServer(run *pool.Run, a *answer) {
	if a.info.Malformed != "" {
		c.relay.count("oddHeaders")
		if c.relay.oddHeaders.due(time.Now()) {
			c.log("odd header", "server", run.Server.ID, "header", a.info.Malformed)
		}
	}
	if a.status == http.StatusMisdirectedRequest || a.info.ID != c.info.ID {
		return
	}
	pauseFor := a.info.RetryAfter
	if a.status != http.StatusServiceUnavailable {
		pauseFor = 0
	}
	c.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
		if !a.info.BadRateLimit {
			p.ObserveRateLimit(now, run, a.info.RateLimit)
		}
		if a.info.HasLoad {
			p.ObserveLoad(now, run, a.info.Load)
		}
		if a.info.ColdRemaining > 0 {
			p.MarkCold(now, run.Server.ID, a.info.ColdRemaining)
		}
		if a.info.Leaving {
			p.MarkLeaving(now, run)
		}
		if pauseFor > 0 {
			p.BackOff(now, run, pauseFor)
		}
	})
}

// verify returns an error unless the answer is a valid answer of the chosen server to this request.
func (c *call) verify(run *pool.Run, a *answer, result *pool.Result) error {
	fail := func(reason fleet.Reason, notRun bool) error {
		return &attemptError{server: run.Server.ID, reason: reason, notRun: notRun, cause: errors.New("status " + strconv.Itoa(a.status))}
	}
	switch {
	case a.info.ID != "" && a.info.ID != c.info.ID: // what it says of running its request is not about this one
		result.Failed = true
		return fail(fleet.ReasonForeignAnswer, false)
	case a.status == http.StatusMisdirectedRequest:
		result.AddressReused = true
		return fail(fleet.ReasonServerLeaving, true)
	case a.info.NotRun:
		result.Rejected = true
		return fail(fleet.ReasonServerOverloaded, true)
	case a.info.ID != c.info.ID, a.response.Header.Get("Content-Encoding") != "":
		result.Failed = true
		return fail(fleet.ReasonForeignAnswer, false)
	case !a.info.Signed && a.status < http.StatusInternalServerError:
		result.Failed = true
		return fail(fleet.ReasonForeignAnswer, false)
	case !a.info.Signed && a.status == http.StatusServiceUnavailable:
		// It is not known that the request did not run, so the status must not claim it.
		result.Failed = true
		return fail(fleet.ReasonServerFailed, false)
	}
	return nil
}
