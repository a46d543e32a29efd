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
	// pollOften is that time for the first reports, as a new scheduler uses more of a limit only once reports show it to be free.
	pollOften = 100 * time.Millisecond
	// pollsOften is how many reports are asked for that often.
	pollsOften = 5
	// pollTimeout bounds one load report.
	pollTimeout = 400 * time.Millisecond
)

// carryOut does what the control state decided.
func (l *Loop) carryOut(ctx context.Context, e *node.Effect) {
	switch {
	case e.Send != nil:
		l.Send(e.Send.To, &e.Send.Message)
	case e.Verdict != nil:
		l.deliver(e.Verdict)
	case e.Key != nil:
		if waiting, found := l.asked[e.Key.Ask]; found {
			delete(l.asked, e.Key.Ask)
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
	if waiting, found := l.waiting[v.Request]; found {
		delete(l.waiting, v.Request)
		waiting <- *v
	}
}

// poll keeps one goroutine for each backend server that is to be asked for its load.
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
	ticker := time.NewTicker(pollOften)
	defer ticker.Stop()
	for polls := 1; ; polls++ {
		if polls == pollsOften {
			ticker.Reset(pollPeriod)
		}
		asking, cancel := context.WithTimeout(ctx, pollTimeout)
		report, err := l.LoadOf(asking, server, address)
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
	line := l.Log
	if n.Cell.Product != "" {
		line = line.With("cell", n.Cell, "term", n.Term)
	}
	if n.Version > 0 {
		line = line.With("version", n.Version)
	}
	if n.From != "" {
		line = line.With("from", n.From)
	}
	if n.After > 0 {
		line = line.With("after", n.After)
	}
	if n.Server != "" {
		line = line.With("server", n.Server, "before", n.Before, "learnt", n.Learnt)
	}
	switch n.Kind {
	case node.NoticeRefused, node.NoticeLimitLowered:
		line.Warn(n.Kind.String(), "why", n.Why)
	case node.NoticeWokeLate, node.NoticePeerLost:
		line.Warn(n.Kind.String())
	default:
		line.Info(n.Kind.String())
	}
}
