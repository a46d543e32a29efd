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
	known := c.serviceVersions()
	_, stopping := c.relay.draining()
	c.relay.Streams.Began(
		digest.StreamVersion{Attempt: resume.AttemptID(c.team, c.info.ID), Version: version}, c.streamLifetime(), stopping || known.Count != digest.VersionsOne,
	)
}

// serviceVersions returns what is known of the versions that the service has had since the caller's stream may have begun.
func (c *call) serviceVersions() (known digest.Versions) {
	if s := c.relay.Streams; s != nil && s.Versions != nil {
		return s.Versions(pool.ServiceID(c.service), c.streamLifetime())
	}
	c.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
		known = p.Versions(now, pool.ServiceID(c.service), c.streamLifetime())
	})
	return known
}

// resumeStream pins a request that goes on with a stream to the version at which that began. It returns a refusal if no router knows the version:
// events of two versions don't fit together, and the router that only sees one version now may have missed another.
func (c *call) resumeStream(ctx context.Context) *refusal {
	if last, err := strconv.ParseUint(c.order.last, 10, 64); err != nil || last == 0 {
		return nil // the caller has no event of a stream yet
	}
	began, err := c.beganAt(ctx)
	if err == nil {
		switch {
		case began.Sole:
			c.relay.count("resumed.soleVersion")
		case began.Earlier:
			c.relay.count("resumed.earlierVersion")
		default:
			c.relay.count("resumed.known")
		}
		c.pin(began.Version)
		c.resumed = true
		return nil
	}
	e := &refusal{
		reason: fleet.ReasonStreamUnknown, status: http.StatusServiceUnavailable, retryAfter: c.streamLifetime(), detail: err.Error(),
	}
	if c.info.BegunBy == "" {
		e.detail = "the caller names no attempt that brought the first event"
		return e
	}
	var unknown *resume.UnknownError
	if errors.As(err, &unknown) && (unknown.Asked == 0 || unknown.Silent > 0) {
		e.retryAfter = unknownRetryAfter
	}
	return e
}

// beganAt returns the version at which the caller's stream began.
func (c *call) beganAt(ctx context.Context) (digest.StreamVersion, error) {
	q := digest.StreamQuestion{Service: pool.ServiceID(c.service), Window: c.streamLifetime()}
	if c.info.BegunBy != "" {
		q.Attempt = resume.AttemptID(c.team, c.info.BegunBy)
	}
	if c.relay.Streams != nil {
		return c.relay.Streams.Version(ctx, q)
	}
	known := c.serviceVersions()
	if known.Count != digest.VersionsOne {
		return digest.StreamVersion{}, &resume.UnknownError{}
	}
	return digest.StreamVersion{Version: known.Sole, Sole: true}, nil
}

// unknownRetryAfter is the Retry-After for a stream whose version is not known while some routers could not be asked. One that all routers don't
// know is not worth coming back for.
const unknownRetryAfter = time.Second
