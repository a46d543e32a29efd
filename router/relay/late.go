package relay

import (
	"net/http"
	"time"

	"mangolug.org/core/fleet"
)

// tooLate returns a refusal if the process is stopping and will probably cut the request before it ends. It is asked just before the request is sent
// for the first time: its body may have come slowly, and it may have waited for a server. A retry is not refused: a refusal of it could not say that the request did not run.
func (c *call) tooLate() *refusal {
	left, draining := c.relay.draining()
	if !draining || c.sends > 0 || c.timeNeeded() <= left {
		return nil
	}
	c.writer.Header().Set("Connection", "close")
	return c.stopRefusal("this router stops in " + left.Round(time.Millisecond).String() + ", and such requests take " + c.timeNeeded().Round(time.Millisecond).String())
}

// timeNeeded returns how long the request takes: about as long as others of its route or, if it may not be repeated when it is cut, no longer than the
// longest of them, or than its deadline if none is known.
func (c *call) timeNeeded() time.Duration {
	d, known := c.relay.durations.of(c.route.Name)
	if c.route.Idempotent() {
		return d.mean
	}
	left := c.deadline - c.relay.Clock()
	if known {
		return max(d.mean, min(d.longest, left))
	}
	return left
}

// stopRefusal returns the refusal of a request that another router has to serve.
func (c *call) stopRefusal(detail string) *refusal {
	return &refusal{reason: fleet.ReasonDraining, status: http.StatusServiceUnavailable, retryAfter: otherRouterRetryAfter, detail: detail}
}
