package relay

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/digest"
	"mangolug.org/core/pool"
	"mangolug.org/core/resume"
)

const (
	// reportsRead is the number of servers that a router asks for their runs when it starts. Where all routers start at once, each server is asked
	// by some, and in a large fleet none asks hundreds.
	reportsRead = 8
	// reportTimeout bounds a server's answer.
	reportTimeout = 700 * time.Millisecond
)

// LearnRuns asks some servers which requests they run, and records at which software versions their streams began. A router that starts calls it,
// as soon as it knows the servers: if all routers ended at once, servers still run what those sent, until they notice that the connections are gone,
// and nobody else knows what they began.
func (s *Relay) LearnRuns(ctx context.Context) {
	if s.HeaderCodec.Report == nil || s.Streams == nil {
		return
	}
	var servers []pool.Server
	s.Gate.With(func(now time.Duration, p *pool.Pool) { servers = p.WarmServers(now, reportsRead) })
	learned := make(chan int, len(servers))
	for _, server := range servers {
		go func() {
			requests, err := s.readReport(ctx, server)
			if err != nil {
				s.count("reports.failed")
				if s.Log != nil {
					s.Log.Warn("report not read", "server", server.ID, "error", err)
				}
			}
			for _, id := range requests {
				s.Streams.Began(digest.StreamVersion{Attempt: resume.ReportedID(id), Version: pool.VersionID(server.Version)}, lifetimeFactor*defaultTimeout, false)
			}
			learned <- len(requests)
		}()
	}
	total := 0
	for range servers {
		total += <-learned
	}
	if s.Log != nil {
		s.Log.Info("runs learned", "servers", len(servers), "requests", total)
	}
}

// readReport returns the ids of the requests that a server runs; none if servers of its kind have no report.
func (s *Relay) readReport(ctx context.Context, server pool.Server) ([]string, error) {
	table := s.Table()
	if table == nil || table.Service(server.Service) == nil {
		return nil, nil
	}
	report := s.HeaderCodec.Report(server, *table.Service(server.Service))
	if report.Path == "" {
		return nil, nil
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	request := &http.Request{
		Method: http.MethodGet, Host: server.Address, Header: http.Header{}, URL: &url.URL{Scheme: "http", Host: server.Address, Path: report.Path},
	}
	response, err := s.Client.Ask(request.WithContext(ctx), server.ID)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, probeBytes))
	if err != nil {
		return nil, errors.Wrap(err, "report")
	}
	return report.Requests(response.StatusCode, body)
}
