package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/core/resume"
)

// lifetimeFactor times a route's timeout is how long after its begin a caller may go on with a stream: each attempt takes the timeout at most, and
// callers try within about as long.
const lifetimeFactor = 2

// streamLifetime returns how long after its begin the caller's stream may go on.
func (c *call) streamLifetime() time.Duration {
	if c.route.Timeout > 0 {
		return lifetimeFactor * c.route.Timeout
	}
	return lifetimeFactor * defaultTimeout
}

// pin makes the request go on only at servers of the version at which its stream began.
func (c *call) pin(version uint32) { c.pinned, c.version = true, version }

// recordBegin pins the request to the version of the server whose first event the caller gets, and keeps it for a caller that comes back. Other
// routers are told unless all know it anyway.
func (c *call) recordBegin(version uint32) {
	if !c.route.Resumable {
		return
	}
	c.pin(version)
	if c.relay.Streams == nil {
		return
	}
	_, sole := c.soleVersion()
	c.relay.Streams.Began(digest.StreamVersion{Attempt: resume.AttemptID(c.team, c.info.ID), Version: version}, c.streamLifetime(), !sole)
}

// soleVersion returns the only version at which the caller's stream can have begun, and false if there are several.
func (c *call) soleVersion() (version uint32, ok bool) {
	c.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
		version, ok = p.SoleVersion(now, pool.ServiceID(c.service), c.streamLifetime())
	})
	return version, ok
}

// resumeStream pins a request that goes on with a stream to the version at which that began. It returns a refusal if no router knows the version:
// events of two versions don't fit together, and the router that only sees one version now may have missed another.
func (c *call) resumeStream(ctx context.Context) *refusal {
	if last, err := strconv.ParseUint(c.order.last, 10, 64); err != nil || last == 0 {
		return nil // the caller has no event of a stream yet
	}
	if version, ok := c.soleVersion(); ok {
		c.relay.count("resumed.soleVersion")
		c.pin(version)
		c.resumed = true
		return nil
	}
	e := &refusal{
		reason: fleet.ReasonStreamUnknown, status: http.StatusServiceUnavailable, retryAfter: c.streamLifetime(),
		detail: "the caller names no attempt that brought the first event",
	}
	if c.info.BegunBy == "" || c.relay.Streams == nil {
		return e
	}
	q := digest.StreamQuestion{Attempt: resume.AttemptID(c.team, c.info.BegunBy), Service: pool.ServiceID(c.service), Window: c.streamLifetime()}
	version, err := c.relay.Streams.Version(ctx, q)
	if err == nil {
		c.relay.count("resumed.known")
		c.pin(version)
		c.resumed = true
		return nil
	}
	e.detail = err.Error()
	var unknown *resume.UnknownError
	if errors.As(err, &unknown) && (unknown.Asked == 0 || unknown.Silent > 0) {
		e.retryAfter = unknownRetryAfter
	}
	return e
}

// unknownRetryAfter is the Retry-After for a stream whose version is not known while some routers could not be asked. One that all routers don't
// know is not worth coming back for.
const unknownRetryAfter = time.Second
