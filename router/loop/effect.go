package loop

import (
	"context"
	"time"

	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
)

const (
	// pollPeriod is the time between two load reports of one backend server.
	pollPeriod = 500 * time.Millisecond
	// initialPollPeriod is the time between the first load reports of a server. It is shorter because a new
	// scheduler uses more of a server's limit only once reports show that it is free.
	initialPollPeriod = 100 * time.Millisecond
	// initialPolls is the number of reports that are requested at initialPollPeriod.
	initialPolls = 5
	// pollTimeout bounds the request for one load report.
	pollTimeout = 400 * time.Millisecond
)

// apply carries out an effect of the control state.
func (l *Loop) apply(ctx context.Context, e *node.Effect) {
	switch {
	case e.Send != nil:
		l.Send(e.Send.To, &e.Send.Message)
	case e.Verdict != nil:
		l.deliver(e.Verdict)
	case e.Key != nil:
		if waiting, found := l.keyRequests[e.Key.ID]; found {
			delete(l.keyRequests, e.Key.ID)
			waiting <- e.Key.Answer
		}
	case e.Links != nil:
		l.SetPeers(e.Links.Addresses)
	case e.Poll != nil:
		l.poll(ctx, e.Poll)
	case e.Notice != nil:
		l.log(e.Notice)
	}
}

func (l *Loop) deliver(v *entry.Verdict) {
	if waiting, found := l.admissions[v.Request]; found {
		delete(l.admissions, v.Request)
		waiting <- *v
	}
}

// poll replaces the goroutines that poll the servers of a cell, one for each server.
func (l *Loop) poll(ctx context.Context, p *node.Poll) {
	if stop := l.polls[p.Cell]; stop != nil {
		stop()
		delete(l.polls, p.Cell)
	}
	if len(p.Servers) == 0 {
		return
	}
	ctx, stop := context.WithCancel(ctx)
	l.polls[p.Cell] = stop
	for server, address := range p.Servers {
		go l.pollServer(ctx, p.Cell, server, address)
	}
}

func (l *Loop) pollServer(ctx context.Context, cell fleet.Cell, server, address string) {
	ticker := time.NewTicker(initialPollPeriod)
	defer ticker.Stop()
	for polls := 1; ; polls++ {
		if polls == initialPolls {
			ticker.Reset(pollPeriod)
		}
		pollCtx, cancel := context.WithTimeout(ctx, pollTimeout)
		report, err := l.FetchLoad(pollCtx, server, address)
		cancel()
		if ctx.Err() != nil {
			return
		}
		report.Server = server
		l.post(input{event: node.Event{Load: &node.Load{Cell: cell, Report: report, Failed: err != nil}}})
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// log writes a notice as one line of key=value pairs.
func (l *Loop) log(n *node.Notice) {
	if l.Log == nil {
		return
	}
	logger := l.Log
	if n.Cell.Product != "" {
		logger = logger.With("cell", n.Cell, "term", n.Term)
	}
	if n.Version > 0 {
		logger = logger.With("version", n.Version)
	}
	if n.From != "" {
		logger = logger.With("from", n.From)
	}
	if n.Duration > 0 {
		logger = logger.With("after", n.Duration)
	}
	if n.Server != "" {
		logger = logger.With("server", n.Server, "before", n.PreviousLimit, "learnt", n.Limit)
	}
	switch n.Kind {
	case node.NoticeRefused, node.NoticeLimitLowered:
		logger.Warn(n.Kind.String(), "why", n.Reason)
	case node.NoticePaused, node.NoticePeerLost:
		logger.Warn(n.Kind.String())
	default:
		logger.Info(n.Kind.String())
	}
}
