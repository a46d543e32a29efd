package relay

import (
	"bufio"
	"bytes"
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
	// probeBytes is the largest answer to a probe in bytes; a server may list all its runs.
	probeBytes = 1 << 20
	// probeShare is the fraction of a request's remaining time that a probe may take, as it may wait for a slot. The rest is for another
	// server.
	probeShare = 0.75
)

// streamEnded handles the end of a stream, given the error of reading its next event.
func (c *call) streamEnded(ctx context.Context, run *pool.Run, a *answer, result *pool.Result, err error) error {
	if !back.IsCleanEnd(err) {
		var broken *back.EventError
		a.progress.insideEvent = errors.As(err, &broken) && broken.Inside
		result.Failed, result.Broken, result.CallerGone = true, !c.countFull(err), ctx.Err() != nil
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
// ends with its connection, and so does every answer of a process that is killed. Only a process that still runs answers a probe that is
// sent after that.
func (c *call) confirmEnd(ctx context.Context, run *pool.Run, a *answer, result *pool.Result) error {
	if a.progress.framing != back.FramingConnection {
		return nil
	}
	err := c.probe(ctx, run)
	if err == nil {
		c.relay.count("ends.proven")
		return nil
	}
	c.relay.count("ends.unproven")
	result.Failed, result.Broken, result.CallerGone = true, true, ctx.Err() != nil
	return &attemptError{
		server: run.Server.ID, reason: fleet.ReasonStreamBroken, cause: errors.Wrap(err, "the answer ended with its connection, and its server may have ended too"),
	}
}

// probe returns an error unless the process that began a run still runs. The probe takes a connection of its own: nothing that is on its way
// on a kept one can be taken for its answer, nor its answer for that of a request.
func (c *call) probe(ctx context.Context, run *pool.Run) error {
	service := c.table.Service(run.Server.Service)
	if service == nil {
		return errors.Errorf("service %s is not configured", run.Server.Service)
	}
	probe := c.relay.HeaderCodec.Probe(run.Server, *service)
	request := &http.Request{
		Method: http.MethodGet, Host: run.Server.Address, Header: probe.Header,
		URL: &url.URL{Scheme: "http", Host: run.Server.Address, Path: probe.Path},
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(probeShare*float64(c.deadline-c.relay.Clock())))
	defer cancel()
	c.relay.Gate.With(func(now time.Duration, p *pool.Pool) { p.CountProbe(now, run) })
	response, err := c.relay.Client.Ask(request.WithContext(ctx), run.Server.ID)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, probeBytes))
	if err != nil {
		return err
	}
	if !probe.Proves(response.StatusCode, response.Header, body) {
		return errors.Errorf("status %d of another process at its address", response.StatusCode)
	}
	return nil
}

// maxStatusLines is how many possible status lines are looked at in a body.
const maxStatusLines = 16

// hasSecondAnswer reports whether another answer to a request follows a body on its connection, or a part of it. Where an answer has
// neither a length nor chunks, that would be read as more of the body.
func (c *call) hasSecondAnswer(body []byte) bool {
	for range maxStatusLines {
		at := bytes.Index(body, []byte("HTTP/1."))
		if at < 0 {
			break
		}
		head := io.LimitReader(bytes.NewReader(body[at:]), back.DefaultHeaderBytes)
		response, err := http.ReadResponse(bufio.NewReader(head), c.request)
		if err == nil && c.relay.HeaderCodec.ParseResponse(response.Header).ID != "" {
			return true
		}
		body = body[at+1:]
	}
	return false
}
