package relay

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/core/route"
)

// call is the state of one request.
type call struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request

	arrived     time.Duration
	deadline    time.Duration
	open        bool   // counted as open
	countedTeam string // the team for which it is counted as open
	info        RequestInfo
	table       *route.Table
	route       *route.Route
	team        string
	service     string
	body        []byte
	heldBytes   int64         // bytes of the body counted as held
	answers     []*heldAnswer // memory of the servers' answers
	fingerprint uint64
	observed    *pool.Request // counted by the pool before the body was read; nil if there is none or it was admitted

	runs          int           // number of servers that may have run it
	sends         int           // number of times that it was sent to a server
	progress      *progress     // of the newest attempt
	tried         []string      // servers that are excluded from retries
	resumed       bool          // the caller came back for the rest of a stream
	pinned        bool          // the stream has begun, here or at an attempt before, and goes on only at servers of the version below
	version       uint32        // pool.VersionID of that version
	headerWritten bool          // the answer's header was sent to the caller
	order         eventOrder    // of the events sent to the caller
	lastEventAt   time.Duration // time of the newest event
	longestPause  time.Duration // longest time between two events
	serverFailure *answer       // a server's failure answer, passed on if no retry succeeds
}

// refusal describes why a request ends without a server's answer.
type refusal struct {
	reason     fleet.Reason
	status     int
	retryAfter time.Duration // Retry-After; 0 for none
	detail     string
	abort      bool // the answer has begun, so only closing the connection shows that it is incomplete

	summarized bool // included in a summary, so it is not logged on its own
}

// prepare parses and authorizes a request, checks the limits and reads its body.
func (c *call) prepare() *refusal {
	info, err := c.relay.HeaderCodec.ParseRequest(c.request.Header)
	c.info = info
	if err != nil {
		return &refusal{reason: fleet.ReasonBadRequest, status: http.StatusBadRequest, detail: err.Error()}
	}
	c.table = c.relay.Table()
	if c.table == nil {
		return &refusal{reason: fleet.ReasonNotReady, status: http.StatusServiceUnavailable, retryAfter: notReadyRetryAfter, detail: "no configuration yet"}
	}
	if e := c.resolve(c.table); e != nil {
		return e
	}
	if _, err := strconv.ParseUint(info.LastEvent, 10, 64); err == nil && c.route.Resumable {
		c.order.last = info.LastEvent
	}
	if load := c.countOpen(); c.relay.Overloaded != nil && c.relay.Overloaded(load) {
		return c.shed()
	}
	if limit := c.table.Config.Limits.HeaderBytes; limit > 0 && headerBytes(c.request) > limit {
		return &refusal{
			reason: fleet.ReasonBadRequest, status: http.StatusRequestHeaderFieldsTooLarge,
			detail: "the header exceeds " + strconv.Itoa(limit) + " bytes",
		}
	}
	timeout := info.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived + timeout
	if e := c.rejectUnread(); e != nil {
		return e
	}
	if e := c.readBody(); e != nil {
		if c.observed != nil {
			c.relay.Gate.With(func(now time.Duration, p *pool.Pool) { p.Withdraw(now, c.observed) })
		}
		return e
	}
	key := c.info.Key
	if c.team == "" {
		key = "" // nobody checked it
	}
	c.fingerprint = fingerprint(c.request, key, c.body)
	return nil
}

// shed refuses a request for which this router has no capacity. The caller should retry once its connections reach another router.
// Until then the connection stays open, as accepting a new connection costs three times as much as a refusal on an open one.
func (c *call) shed() *refusal {
	c.relay.Gate.With(func(now time.Duration, p *pool.Pool) { p.CountShed(now, c.poolRequest()) })
	c.refuseUnread()
	retryAfter := otherRouterRetryAfter
	if c.relay.RebalanceDelay != nil {
		retryAfter += c.relay.RebalanceDelay()
	}
	if retryAfter > otherRouterRetryAfter {
		retryAfter += time.Duration(retryAfterJitter * rand.Float64() * float64(retryAfter)) // so that callers do not all retry at once
	} else {
		c.writer.Header().Set("Connection", "close")
	}
	return &refusal{
		reason: fleet.ReasonTooManyOpen, status: http.StatusServiceUnavailable, retryAfter: retryAfter, detail: "too many requests open at this router",
		summarized: !c.relay.shedCounter.add(c.team),
	}
}

// retryAfterJitter is the largest fraction by which a Retry-After is lengthened, so that refused callers do not retry together.
const retryAfterJitter = 0.5

// resolve finds the route, the team and the service of a request in a configuration.
func (c *call) resolve(t *route.Table) *refusal {
	r := t.Match(c.request.Host, c.request.URL.Path)
	if r == nil {
		return c.denied(&refusal{reason: fleet.ReasonUnknownRoute, status: http.StatusNotFound, detail: c.request.Host + c.request.URL.Path})
	}
	team := ""
	if !r.Public && len(t.Config.Teams) > 0 {
		owner := t.Team(c.info.Key)
		if owner == nil {
			return c.denied(&refusal{reason: fleet.ReasonUnauthorized, status: http.StatusUnauthorized, detail: "no team holds this key"})
		}
		team = owner.Name
	}
	c.table, c.route, c.team = t, r, team
	c.service = r.PickService(c.affinityKey())
	return nil
}

// denied returns a refusal for good by the configuration in force, or one for now if there may be a newer one that allows the request.
func (c *call) denied(e *refusal) *refusal {
	if c.relay.ConfigOverdue == nil || !c.relay.ConfigOverdue() {
		return e
	}
	c.relay.count("denied.overdue")
	return &refusal{
		reason: fleet.ReasonNotReady, status: http.StatusServiceUnavailable, retryAfter: notReadyRetryAfter,
		detail: e.reason.String() + " by a configuration that may be out of date: " + e.detail,
	}
}

// affinityKey returns the key by which a route assigns requests to its services: that of the prompt prefix, or else the request id.
func (c *call) affinityKey() string {
	if n := len(c.info.Segments); n > 1 {
		return strconv.FormatUint(c.info.Segments[n-2].ID, 16)
	}
	return c.info.ID
}

// resolveAgain applies a configuration that arrived while the request was queued. A request that was already sent keeps its first one.
func (c *call) resolveAgain() *refusal {
	t := c.relay.Table()
	if t == c.table || c.sends > 0 {
		return nil
	}
	return c.resolve(t)
}

// headerBytes returns the approximate size in bytes of a request's header on the wire.
func headerBytes(r *http.Request) int {
	const separators = 4 // ": " and the line's end
	n := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// bodyLimit returns the largest body in bytes that a request may have.
func (c *call) bodyLimit() int64 {
	if limit := c.table.Config.Limits.BodyBytes; limit > 0 {
		return limit
	}
	return defaultBodyLimit
}

func (c *call) readBody() *refusal {
	limit := c.bodyLimit()
	if c.request.ContentLength > limit {
		c.writer.Header().Set("Connection", "close")
		return &refusal{reason: fleet.ReasonBodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: strconv.FormatInt(c.request.ContentLength, 10) + " bytes"}
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	controller := http.NewResponseController(c.writer)
	_ = controller.SetReadDeadline(time.Now().Add(bodyReadTimeout)) // unsupported only by test recorders
	var buffer bytes.Buffer
	if n := c.request.ContentLength; n > 0 {
		buffer.Grow(int(min(n, bodyPreallocLimit)) + bytes.MinRead)
	}
	heldLimit := int64(0)
	if c.relay.BodyLimit != nil {
		heldLimit = c.relay.BodyLimit()
	}
	_, err := buffer.ReadFrom(&bodyReader{http.MaxBytesReader(c.writer, c.request.Body, limit), c, heldLimit})
	_ = controller.SetReadDeadline(time.Time{})
	if err == nil {
		c.body = buffer.Bytes()
		return nil
	}
	c.writer.Header().Set("Connection", "close")
	var tooLarge *http.MaxBytesError
	var full *bodiesFullError
	switch {
	case errors.As(err, &full):
		return &refusal{reason: fleet.ReasonTooManyOpen, status: http.StatusServiceUnavailable, retryAfter: bodiesFullRetryAfter, detail: err.Error()}
	case errors.As(err, &tooLarge):
		return &refusal{reason: fleet.ReasonBodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{reason: fleet.ReasonSlowCaller, status: http.StatusRequestTimeout, detail: err.Error()}
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: err.Error()}
	}
	return &refusal{reason: fleet.ReasonBadRequest, status: http.StatusBadRequest, detail: err.Error()}
}

// context returns a context that ends at the request's deadline, when the caller leaves or when the process cuts its requests.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(c.request.Context(), c.deadline-c.relay.Clock())
	if c.relay.Stopping == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(c.relay.Stopping, cancel)
	return ctx, func() { stop(); cancel() }
}

// poolRequest returns the request in the form that the pool takes.
func (c *call) poolRequest() *pool.Request {
	output := c.info.Output
	if output == 0 && c.info.Prompt > 0 {
		output = defaultOutput
	}
	if c.info.LengthHint > 0 {
		output = min(output, c.info.LengthHint)
	}
	arrived := c.arrived
	if c.sends > 0 {
		arrived = c.relay.Clock() // the rest of the answer is still useful, however late the first attempt was
	}
	return &pool.Request{
		ID: c.info.ID, Service: c.service, Route: c.route.Name, CallerTime: c.info.Timeout, Team: c.team, PromptTokens: c.info.Prompt, OutputTokens: output, Segments: c.info.Segments,
		Arrived: arrived, Objective: arrived + c.route.Objective, Deadline: c.deadline, Tried: c.tried, Retry: c.sends > 0 || c.resumed, Fingerprint: c.fingerprint, Pinned: c.pinned, Version: c.version,
	}
}
