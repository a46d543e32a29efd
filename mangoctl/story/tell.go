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

// Story is what logs tell of a request.
type Story struct {
	Request string   `json:"request"`
	Steps   []Step   `json:"steps"`
	Gaps    []string `json:"gaps"` // what the logs lack
	End     string   `json:"end"`  // how the request ended, in words
}

// Step is one line of a story.
type Step struct {
	After time.Duration `json:"afterNanos"` // since the request's first line; less than 0 before it
	Own   bool          `json:"own"`        // the line is of the request; the others are of its routers and servers
	Line  Line          `json:"line"`
}

// context are the lines, beside the request's own, that may explain it: those of its router, and of its servers at any router.
var context = map[string]bool{
	"server": true, "crowd": true, "turned away": true, "shares": true, "sums": true, "platform lost": true, "platform back": true,
	"data centre out": true, "data centre back": true, "configuration in force": true, "starting": true, "stopping": true, "stopped": true,
}

// ends are the lines after which a request has no more, except after a failed attempt.
var ends = map[string]bool{"answered": true, "refused": true}

// collector picks the lines of one request, and those that may explain it, from logs in any order.
type collector struct {
	request string
	own     []Line
	around  []Line
	dropped map[string]int64 // lines that routers could not write
	torn    int              // lines that can't be read
}

func (c *collector) take(l Line) {
	switch {
	case l.Get("request") == c.request:
		c.own = append(c.own, l)
	case context[l.What]:
		c.around = append(c.around, l)
	case l.What == "usage":
		if n, err := strconv.ParseInt(l.Get("droppedLines"), 10, 64); err == nil && n > 0 {
			if c.dropped == nil {
				c.dropped = make(map[string]int64)
			}
			c.dropped[l.Router] = max(c.dropped[l.Router], n)
		}
	}
}

// story puts the lines in order.
func (c *collector) story(around time.Duration) Story {
	s := Story{Request: c.request}
	if len(c.own) == 0 {
		return s
	}
	byTime := func(a, b Line) int { return a.At.Compare(b.At) }
	slices.SortStableFunc(c.own, byTime)
	first, last := c.own[0].At, c.own[len(c.own)-1].At
	routers, servers := map[string]bool{}, map[string]bool{}
	for _, l := range c.own {
		routers[l.Router] = true
		if server := l.Get("server"); server != "" {
			servers[server] = true
		}
	}
	lines := slices.Clone(c.own)
	for _, l := range c.around {
		near := !l.At.Before(first.Add(-around)) && !l.At.After(last.Add(around))
		if near && routers[l.Router] && (l.What != "server" || servers[l.Get("server")]) {
			lines = append(lines, l)
		}
	}
	slices.SortStableFunc(lines, byTime)
	for _, l := range lines {
		s.Steps = append(s.Steps, Step{l.At.Sub(first), l.Get("request") == c.request, l})
	}
	s.Gaps = c.gaps(routers)
	s.End = end(c.own[len(c.own)-1], first)
	return s
}

// gaps names what the logs lack to tell the whole way.
func (c *collector) gaps(routers map[string]bool) []string {
	var gaps []string
	sends := 0
	for i, l := range c.own {
		if l.What != "sent" {
			continue
		}
		sends++
		if number, err := strconv.Atoi(l.Get("send")); err == nil && number > sends {
			gaps = append(gaps, fmt.Sprintf("the lines of %d attempts before this one to server %s", number-sends, l.Get("server")))
			sends = number
		}
		if !c.followed(c.own[i+1:]) {
			gaps = append(gaps, "how the attempt at server "+l.Get("server")+" ended: its router was lost, or its lines were")
		}
	}
	if first := c.own[0]; first.What != "sent" && first.What != "refused" {
		gaps = append(gaps, "what came before "+first.What)
	}
	for _, router := range slices.Sorted(maps.Keys(routers)) {
		if n := c.dropped[router]; n > 0 {
			gaps = append(gaps, fmt.Sprintf("%d lines that router %s dropped since its start, as its log was read too slowly", n, router))
		}
	}
	if c.torn > 0 {
		gaps = append(gaps, fmt.Sprintf("%d lines of any request that are not whole", c.torn))
	}
	return gaps
}

// followed reports whether the lines after an attempt tell how it ended.
func (c *collector) followed(lines []Line) bool {
	for _, l := range lines {
		if ends[l.What] || l.What == "failed" {
			return true
		}
		if l.What == "sent" {
			return false
		}
	}
	return false
}

// end tells in words how a request ended, by its last line.
func end(l Line, first time.Time) string {
	after := l.At.Sub(first).Round(time.Millisecond)
	switch l.What {
	case "answered":
		return fmt.Sprintf("answered with status %s by server %s, %v after its first line", l.Get("status"), l.Get("server"), after)
	case "refused", "failed":
		var r fleet.Reason
		_ = r.UnmarshalText([]byte(l.Get("reason"))) // never fails: an unknown name becomes ReasonNone
		text := fmt.Sprintf("%s by router %s with status %s: %s", l.What, l.Router, l.Get("status"), expl.Words(r))
		if l.What == "failed" {
			text = "failed at server " + l.Get("server") + ", and no line tells what followed: " + expl.Words(r)
		}
		if detail := l.Get("detail"); detail != "" {
			text += " (" + detail + ")"
		}
		return text
	}
	return "no line tells how it ended; the last is " + l.What
}
