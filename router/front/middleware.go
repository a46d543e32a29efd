package front

import (
	"context"
	"crypto/sha256"
	"strings"

	"github.com/go-kit/kit/endpoint"

	"mangolug.org/core/fleet"
)

// readiness refuses requests while the router is not ready, and records the configuration in force on each request.
func (f *Front) readiness(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request interface{}) (interface{}, error) {
		c := request.(*call)
		if f.Ready != nil {
			if reason := f.Ready(); reason != fleet.ReasonNone && reason != fleet.ReasonGranted {
				c.writer.Header().Set("Connection", "close")
				return nil, c.newRefusal(reason, "this router takes no requests now; another may")
			}
		}
		c.rules = f.Rules()
		if c.rules == nil {
			return nil, c.newRefusal(fleet.ReasonNotReady, "no configuration is in force here yet")
		}
		return next(ctx, request)
	}
}

// authentication identifies the team by its bearer key before any of the body is read.
func (f *Front) authentication(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request interface{}) (interface{}, error) {
		c := request.(*call)
		scheme, key, _ := strings.Cut(c.request.Header.Get("Authorization"), " ")
		if strings.EqualFold(scheme, "Bearer") && key != "" {
			c.team = c.rules.TeamsByKey[sha256.Sum256([]byte(key))]
		}
		if c.team == nil {
			if c.request.ContentLength != 0 {
				// Close the connection, or the server would read the body in order to reuse the connection.
				c.writer.Header().Set("Connection", "close")
			}
			return nil, c.newRefusal(fleet.ReasonUnauthorized, "the bearer key is missing or wrong")
		}
		return next(ctx, request)
	}
}

// teamLimit limits the number of open requests per team.
func (f *Front) teamLimit(next endpoint.Endpoint) endpoint.Endpoint {
	return func(ctx context.Context, request interface{}) (interface{}, error) {
		c := request.(*call)
		if !f.open.acquireTeam(c.team.Name, f.Settings.MaxOpenPerTeam) {
			return nil, c.newRefusal(fleet.ReasonTooManyOpen, "the team has too many requests open at this router")
		}
		defer f.open.releaseTeam(c.team.Name)
		return next(ctx, request)
	}
}

// serve reads the request, then forwards it and relays the answer.
func (f *Front) serve(ctx context.Context, request interface{}) (interface{}, error) {
	c := request.(*call)
	if err := c.read(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline-c.arrived)
	defer cancel()
	defer context.AfterFunc(f.stopping, cancel)()
	c.note("arrived", fleet.ReasonNone, "", "")
	if c.keyed() {
		return nil, c.runKeyed(ctx)
	}
	return nil, c.run(ctx)
}
