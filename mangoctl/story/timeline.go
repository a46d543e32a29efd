package story

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/mangoctl/expl"
)

// Timeline is the history of a request as reconstructed from logs.
type Timeline struct {
	Request string   `json:"request"`
	Steps   []Step   `json:"steps"`
	Gaps    []string `json:"gaps"`   // what the logs lack
	Doubts  []string `json:"doubts"` // why the answer may not be whole or in order
	End     string   `json:"end"`    // how the request ended, as a sentence
}

// Step is one log line of a Timeline.
type Step struct {
	After time.Duration `json:"afterNanos"` // since the request's first line; negative before it
	Own   bool          `json:"own"`        // true if the line names the request; other lines are about its routers and servers
	Line  Line          `json:"line"`
}

// contextMessages are the messages of lines that may explain a request without naming it: those of its routers,
// and those that these routers logged about its servers.
var contextMessages = map[string]bool{
	"server": true, "crowd": true, "turned away": true, "over share": true, "shares": true, "sums": true, "platform lost": true, "platform back": true,
	"data centre out": true, "data centre back": true, "configuration in force": true, "starting": true, "stopping": true, "stopped": true,
}

// finalMessages are the messages that end a request. A failed attempt is not among them, as a retry may follow.
var finalMessages = map[string]bool{"answered": true, "refused": true}

// collector selects the lines of one request, and those that may explain it, from logs in any order.
type collector struct {
	request      string
	requestLines []Line
	contextLines []Line
	dropped      map[string]int64 // lines that each router failed to write since its start
	malformed    int              // malformed lines, of any request
}

func (c *collector) add(l Line) {
	switch {
	case l.Get("request") == c.request:
		c.requestLines = append(c.requestLines, l)
	case contextMessages[l.Message]:
		c.contextLines = append(c.contextLines, l)
	case l.Message == "usage":
		if n, err := strconv.ParseInt(l.Get("droppedLines"), 10, 64); err == nil && n > 0 {
			if c.dropped == nil {
				c.dropped = make(map[string]int64)
			}
			c.dropped[l.Router] = max(c.dropped[l.Router], n)
		}
	}
}

// timeline orders the lines by time and adds the context lines that are at most around before or after the request.
func (c *collector) timeline(around time.Duration) Timeline {
	s := Timeline{Request: c.request}
	if len(c.requestLines) == 0 {
		return s
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(c.requestLines, byTime)
	first, last := c.requestLines[0].Time, c.requestLines[len(c.requestLines)-1].Time
	routers, servers := map[string]bool{}, map[string]bool{}
	for _, l := range c.requestLines {
		routers[l.Router] = true
		if server := l.Get("server"); server != "" {
			servers[server] = true
		}
	}
	lines := slices.Clone(c.requestLines)
	for _, l := range c.contextLines {
		inWindow := !l.Time.Before(first.Add(-around)) && !l.Time.After(last.Add(around))
		if inWindow && routers[l.Router] && (l.Message != "server" || servers[l.Get("server")]) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	for _, l := range lines {
		s.Steps = append(s.Steps, Step{l.Time.Sub(first), l.Get("request") == c.request, l})
	}
	s.Gaps = c.missing(routers)
	s.Doubts = c.doubts()
	s.End = describeEnd(c.requestLines[len(c.requestLines)-1], first)
	return s
}

// missing lists what the logs lack for a complete timeline.
func (c *collector) missing(routers map[string]bool) []string {
	var gaps []string
	sends := 0
	for i, l := range c.requestLines {
		if l.Message != "sent" {
			continue
		}
		sends++
		if number, err := strconv.Atoi(l.Get("send")); err == nil && number > sends {
			gaps = append(gaps, fmt.Sprintf("the lines of %d attempts before this one to server %s", number-sends, l.Get("server")))
			sends = number
		}
		if !c.hasOutcome(c.requestLines[i+1:]) {
			gaps = append(gaps, "how the attempt at server "+l.Get("server")+" ended: its router was lost, or its lines were")
		}
	}
	if first := c.requestLines[0]; first.Message != "sent" && first.Message != "refused" {
		gaps = append(gaps, "what came before "+first.Message)
	}
	for _, router := range slices.Sorted(maps.Keys(routers)) {
		if n := c.dropped[router]; n > 0 {
			gaps = append(gaps, fmt.Sprintf("%d lines that router %s dropped since its start, as its log was read too slowly", n, router))
		}
	}
	if c.malformed > 0 {
		gaps = append(gaps, fmt.Sprintf("%d lines of any request that are not whole", c.malformed))
	}
	return gaps
}

// doubts lists what speaks against the answer being whole and in order.
func (c *collector) doubts() []string {
	var doubts []string
	for _, l := range c.requestLines {
		server := l.Get("server")
		if l.Message == "answered" && l.Get("end") == "connection" {
			doubts = append(doubts, "only the end of the connection shows that the answer of server "+server+" is whole")
		}
		if n := l.Get("outOfOrder"); n != "" {
			doubts = append(doubts, n+" events of server "+server+" have ids that do not rise")
		}
	}
	return doubts
}

// hasOutcome reports whether the lines that follow a sent attempt contain its outcome.
func (c *collector) hasOutcome(lines []Line) bool {
	for _, l := range lines {
		if finalMessages[l.Message] || l.Message == "failed" {
			return true
		}
		if l.Message == "sent" {
			return false
		}
	}
	return false
}

// describeEnd describes how a request ended, judged by its last line.
func describeEnd(l Line, first time.Time) string {
	after := l.Time.Sub(first).Round(time.Millisecond)
	switch l.Message {
	case "answered":
		return fmt.Sprintf("answered with status %s by server %s, %v after its first line", l.Get("status"), l.Get("server"), after)
	case "refused", "failed":
		var r fleet.Reason
		_ = r.UnmarshalText([]byte(l.Get("reason"))) // never fails: an unknown name becomes ReasonNone
		text := fmt.Sprintf("%s by router %s with status %s: %s", l.Message, l.Router, l.Get("status"), expl.Describe(r))
		if l.Message == "failed" {
			text = "failed at server " + l.Get("server") + ", and no line tells what followed: " + expl.Describe(r)
		}
		if detail := l.Get("detail"); detail != "" {
			text += " (" + detail + ")"
		}
		return text
	}
	return "no line tells how it ended; the last is " + l.Message
}
