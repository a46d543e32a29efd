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

// call is one request on its way through the router.
type call struct {
	relay   *Relay
	writer  http.ResponseWriter
	request *http.Request

	arrived  time.Duration
	deadline time.Duration
	entered  bool   // it counts as open
	holder   string // the team for which it does
	asked    Asked
	table    *route.Table
	route    *route.Route
	team     string
	service  string
	body     []byte
	held     int64 // bytes of the body that count as held

	runs      int           // servers on which it may have run
	sends     int           // times that it was given to a server
	tried     []string      // servers that are not asked again
	written   bool          // the answer's header has gone to the caller
	lastEvent string        // newest event that went to the caller
	eventAt   time.Duration // when it came
	pause     time.Duration // longest between two events
	failed    *answer       // a server's own failure, which is the answer if nothing better comes
}

// refusal ends a request without a server's answer.
type refusal struct {
	reason fleet.Reason
	status int
	after  time.Duration // 0 for no advice
	detail string
	cut    bool // the answer has begun and can only be shown to be broken by cutting the connection

	counted bool // a summary tells of it, so it gets no line of its own
}

// prepare finds out what a request is and whether it may be served, and reads its body.
func (c *call) prepare() *refusal {
	asked, err := c.relay.Dialect.Read(c.request.Header)
	c.asked = asked
	c.lastEvent = asked.LastEvent
	if err != nil {
		return &refusal{reason: fleet.ReasonBadRequest, status: http.StatusBadRequest, detail: err.Error()}
	}
	c.table = c.relay.Table()
	if c.table == nil {
		return &refusal{reason: fleet.ReasonNotReady, status: http.StatusServiceUnavailable, after: notReadyAfter, detail: "no configuration yet"}
	}
	if e := c.locate(c.table); e != nil {
		return e
	}
	if load := c.enter(); c.relay.Full != nil && c.relay.Full(load) {
		return c.turnAway()
	}
	if limit := c.table.Config.Limits.HeaderBytes; limit > 0 && headerBytes(c.request) > limit {
		return &refusal{
			reason: fleet.ReasonBadRequest, status: http.StatusRequestHeaderFieldsTooLarge,
			detail: "the header is over " + strconv.Itoa(limit) + " bytes",
		}
	}
	left := asked.Left
	if left <= 0 {
		left = defaultLeft
	}
	if c.route.Timeout > 0 {
		left = min(left, c.route.Timeout)
	}
	c.deadline = c.arrived + left
	return c.readBody()
}

// turnAway refuses a request for which this router has no room: its caller is to come back once it reaches another. Until then
// the connection stays open, as to accept one more costs three times as much as to refuse on it.
func (c *call) turnAway() *refusal {
	c.relay.Gate.With(func(now time.Duration, p *pool.Pool) { p.TurnedAway(now, c.ask()) })
	// The server reads the rest of the body before it answers on a connection that stays open.
	_ = http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(awayTime)) // unsupported only by test recorders
	after := stoppedAfter
	if c.relay.Moved != nil {
		after += c.relay.Moved()
	}
	if after > stoppedAfter {
		after += time.Duration(returnSpread * rand.Float64() * float64(after)) // or all come back at once
	} else {
		c.writer.Header().Set("Connection", "close")
	}
	return &refusal{
		reason: fleet.ReasonTooManyOpen, status: http.StatusServiceUnavailable, after: after, detail: "too many requests open at this router",
		counted: !c.relay.away.note(c.team),
	}
}

// awayTime bounds how long a caller that is turned away may take over the rest of its body.
const awayTime = time.Second

// returnSpread is by how much of itself the advice to come back is lengthened at most, so that refused callers do not return together.
const returnSpread = 0.5

// locate finds the route, the team and the service in a configuration.
func (c *call) locate(t *route.Table) *refusal {
	r := t.Match(c.request.Host, c.request.URL.Path)
	if r == nil {
		return &refusal{reason: fleet.ReasonUnknownRoute, status: http.StatusNotFound, detail: c.request.Host + c.request.URL.Path}
	}
	team := ""
	if !r.Public && len(t.Config.Teams) > 0 {
		holder := t.Team(c.asked.Key)
		if holder == nil {
			return &refusal{reason: fleet.ReasonUnauthorized, status: http.StatusUnauthorized, detail: "no team holds this key"}
		}
		team = holder.Name
	}
	c.table, c.route, c.team = t, r, team
	c.service = r.Serve(c.subject())
	return nil
}

// subject is what requests have in common that should go the same way.
func (c *call) subject() string {
	if n := len(c.asked.Parts); n > 1 {
		return strconv.FormatUint(c.asked.Parts[n-2].ID, 16)
	}
	return c.asked.ID
}

// relocate takes up a configuration that came while the request waited; one that was sent goes on under its first.
func (c *call) relocate() *refusal {
	t := c.relay.Table()
	if t == c.table || c.sends > 0 {
		return nil
	}
	return c.locate(t)
}

// headerBytes is about the size of a request's header on the wire.
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

func (c *call) readBody() *refusal {
	limit := c.table.Config.Limits.BodyBytes
	if limit <= 0 {
		limit = defaultBody
	}
	if c.request.ContentLength > limit {
		c.writer.Header().Set("Connection", "close")
		return &refusal{reason: fleet.ReasonBodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: strconv.FormatInt(c.request.ContentLength, 10) + " bytes"}
	}
	if c.request.ContentLength == 0 {
		return nil
	}
	control := http.NewResponseController(c.writer)
	_ = control.SetReadDeadline(time.Now().Add(bodyTime)) // unsupported only by test recorders
	var held bytes.Buffer
	if n := c.request.ContentLength; n > 0 {
		held.Grow(int(min(n, bodyAhead)) + bytes.MinRead)
	}
	room := int64(0)
	if c.relay.BodyRoom != nil {
		room = c.relay.BodyRoom()
	}
	_, err := held.ReadFrom(&bodyReader{http.MaxBytesReader(c.writer, c.request.Body, limit), c, room})
	_ = control.SetReadDeadline(time.Time{})
	if err == nil {
		c.body = held.Bytes()
		return nil
	}
	c.writer.Header().Set("Connection", "close")
	var large *http.MaxBytesError
	var full *bodyRoomError
	switch {
	case errors.As(err, &full):
		return &refusal{reason: fleet.ReasonTooManyOpen, status: http.StatusServiceUnavailable, after: bodyRoomAfter, detail: err.Error()}
	case errors.As(err, &large):
		return &refusal{reason: fleet.ReasonBodyTooLarge, status: http.StatusRequestEntityTooLarge, detail: err.Error()}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &refusal{reason: fleet.ReasonSlowCaller, status: http.StatusRequestTimeout, detail: err.Error()}
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF):
		return &refusal{reason: fleet.ReasonCallerGone, status: http.StatusRequestTimeout, detail: err.Error()}
	}
	return &refusal{reason: fleet.ReasonBadRequest, status: http.StatusBadRequest, detail: err.Error()}
}

// context ends with the caller's wait, or with the process.
func (c *call) context() (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(c.request.Context(), c.deadline-c.relay.Clock())
	if c.relay.Stopping == nil {
		return ctx, cancel
	}
	stop := context.AfterFunc(c.relay.Stopping, cancel)
	return ctx, func() { stop(); cancel() }
}

// ask is the request as the pool sees it.
func (c *call) ask() *pool.Ask {
	output := c.asked.Output
	if output == 0 && c.asked.Prompt > 0 {
		output = defaultOutput
	}
	if c.asked.Hint > 0 {
		output = min(output, c.asked.Hint)
	}
	arrived := c.arrived
	if c.sends > 0 {
		arrived = c.relay.Clock() // what is left of the answer is still of worth, however late its first attempt was
	}
	return &pool.Ask{
		ID: c.asked.ID, Service: c.service, Team: c.team, Prompt: c.asked.Prompt, Output: output, Parts: c.asked.Parts,
		Arrived: arrived, Objective: arrived + c.route.Objective, Deadline: c.deadline, Tried: c.tried, Again: c.sends > 0,
	}
}
