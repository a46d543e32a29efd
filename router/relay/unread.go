package relay

import (
	"net/http"
	"time"

	"mangolug.org/core/pool"
)

// unreadBodyTimeout is how long a caller may take to send the rest of its body after its request was refused.
const unreadBodyTimeout = time.Second

// rejectUnread refuses a request over its team's share before its body is read if the pool already knows that it won't be sent. Reading and
// hashing a body of 9 KB, and waiting for the pool, take about as much processor time as the rest of a refusal.
func (c *call) rejectUnread() *refusal {
	switch {
	case c.info.Prompt <= 0, c.table.Config.Limits.TokensPerSecond <= 0:
		return nil // no team has a share
	case c.info.LastEvent != "" || c.info.BegunBy != "":
		return nil // the rest of a stream goes before new requests
	case c.request.ContentLength > c.bodyLimit(), c.relay.RefusesNew != nil && c.relay.RefusesNew():
		return nil // refused for a reason that tells the caller more
	}
	a := c.poolRequest()
	v, rejected := c.relay.Gate.RejectUnread(a)
	if !rejected {
		c.observed = a
		return nil
	}
	c.relay.count("refusedUnread.teamShare")
	c.refuseUnread()
	e := &refusal{
		reason: v.Reason, status: http.StatusServiceUnavailable, retryAfter: v.RetryAfter,
		summarized: !c.relay.overShareCounter.addUnlogged(c.team),
	}
	if !e.summarized {
		e.detail = "unread, backlog " + v.Backlog.Round(time.Millisecond).String()
	}
	return e
}

// refuseUnread counts a request that is refused before its body is read, and bounds the time in which the server reads the rest of the
// body before it answers on a connection that stays open.
func (c *call) refuseUnread() {
	c.leaveOpen()
	c.relay.refusedUnread.Add(1)
	if c.request.ContentLength == 0 {
		return
	}
	_ = http.NewResponseController(c.writer).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // unsupported only by test recorders
}

// admission returns the request to pass to the pool next: the one that is counted already, if there is one.
func (c *call) admission() *pool.Request {
	a := c.observed
	if a == nil || a.Team != c.team || a.Service != c.service {
		return c.poolRequest()
	}
	c.observed = nil
	a.Fingerprint = c.fingerprint
	return a
}
