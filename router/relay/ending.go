package relay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/core/pool"
	"mangolug.org/router/back"
)

const (
	// healthTimeout is how long a server may take to answer a health check, which waits for a slot like any other request.
	healthTimeout = time.Second
	// healthBodyBytes is how much of the answer to a health check is read, so that its connection can be used again.
	healthBodyBytes = 4 << 10
)

// streamEnded handles the end of a stream, given the error of reading its next event.
func (c *call) streamEnded(ctx context.Context, run *pool.Run, a *answer, result *pool.Result, err error) error {
	if !back.IsCleanEnd(err) {
		var broken *back.EventError
		a.progress.insideEvent = errors.As(err, &broken) && broken.Inside
		result.Failed, result.CallerGone = true, ctx.Err() != nil
		return &attemptError{server: run.Server.ID, reason: fleet.ReasonStreamBroken, cause: err}
	}
	if err := c.confirmEnd(ctx, run, a, result); err != nil {
		return err
	}
	if !c.headerWritten {
		a.writeHeader(c, -1)
	}
	c.recordAnswered(a, run.Server.ID)
	return nil
}

// confirmEnd returns an error if the end of a connection may have cut an answer short. An answer without a length and without chunks
// ends with its connection, and so does every answer of a process that is killed. Only a process that lives answers a health check
// that is sent after that.
func (c *call) confirmEnd(ctx context.Context, run *pool.Run, a *answer, result *pool.Result) error {
	if a.progress.framing != back.FramingConnection {
		return nil
	}
	err := c.checkHealth(ctx, run)
	if err == nil {
		return nil
	}
	result.Failed, result.CallerGone = true, ctx.Err() != nil
	return &attemptError{
		server: run.Server.ID, reason: fleet.ReasonStreamBroken,
		cause: errors.Wrap(err, "the answer ended with its connection, and its server does not answer a health check"),
	}
}

// checkHealth returns an error unless the server of a run answers, even if it says that it is not healthy.
func (c *call) checkHealth(ctx context.Context, run *pool.Run) error {
	service := c.table.Service(run.Server.Service)
	if service == nil || service.HealthPath == "" {
		return errors.Errorf("service %s has no health path", run.Server.Service)
	}
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet, Host: run.Server.Address, Header: http.Header{"User-Agent": nil},
		URL: &url.URL{Scheme: "http", Host: run.Server.Address, Path: service.HealthPath},
	}
	response, err := c.relay.Client.Do(request.WithContext(ctx), run.Server.ID, false, nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.CopyN(io.Discard, response.Body, healthBodyBytes) // the header has told all that is asked
	if server := c.relay.HeaderCodec.ParseResponse(response.Header).Server; server != "" && server != run.Server.ID {
		return errors.Errorf("server %s has its address", server)
	}
	return nil
}
