package expl

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
)

func writeRequest(s *stream.Streams, a RequestAnswer) error {
	e := a.Explanation
	if s.Terminal {
		_, err := fmt.Fprintf(s.Out, "request %s of team %s for %s, at router %s: %s\n\n", e.Request, e.Team, e.Product, a.Router, summary(e.Steps))
		if err != nil {
			return errors.Wrap(err, "write summary")
		}
	}
	t := &table.Table{Kind: "step", Title: "steps", Header: []string{"ROUTER", "AFTER", "STEP", "REASON", "BACKEND SERVER", "BECAUSE"}}
	for _, v := range e.Steps {
		t.Add(a.Router, millis(v.AtMillis), v.What, v.Reason.String(), orDash(v.Server), reasonText(v))
	}
	return t.Write(s)
}

// summary describes the state of a request by its last step.
func summary(steps []report.Step) string {
	if len(steps) == 0 {
		return "nothing was recorded"
	}
	last := steps[len(steps)-1]
	text := last.What + " after " + millis(last.AtMillis)
	if last.Server != "" {
		text += " at " + last.Server
	}
	if last.Reason == fleet.ReasonNone {
		return text
	}
	return text + ": " + reasonText(last)
}

// reasonText describes the reason of a step, followed by its detail in parentheses.
func reasonText(v report.Step) string {
	text := ""
	if v.Reason != fleet.ReasonNone {
		text = Describe(v.Reason)
	}
	switch {
	case v.Detail == "":
		return orDash(text)
	case text == "":
		return v.Detail
	default:
		return text + " (" + v.Detail + ")"
	}
}

func writeTeam(s *stream.Streams, answers []TeamAnswer) error {
	for _, t := range []*table.Table{waitingTable(answers), shareTable(answers), refusalTable(answers), recentTable(answers)} {
		if len(t.Rows) == 0 {
			continue
		}
		if err := t.Write(s); err != nil {
			return err
		}
	}
	return nil
}

func waitingTable(answers []TeamAnswer) *table.Table {
	t := &table.Table{Kind: "room", Title: "waiting rooms", Header: []string{"ROUTER", "PRODUCT", "WAITING", "RUNNING", "OLDEST", "SCHEDULER", "BECAUSE"}}
	for _, a := range answers {
		for _, r := range a.Explanation.Rooms {
			why := "-"
			if r.Waiting > 0 {
				why = Describe(r.Why) + partialLimit(answers, r)
			}
			t.Add(a.Router, r.Product, strconv.Itoa(r.Waiting), strconv.Itoa(r.Running), millis(r.OldestWaitMillis), orDash(r.Scheduler), why)
		}
	}
	return t
}

// partialLimit returns a note if too few routers lend to the scheduler of a waiting room for it to use the full limit of each server.
func partialLimit(answers []TeamAnswer, r report.Room) string {
	for _, a := range answers {
		if a.Router != r.Scheduler {
			continue
		}
		for _, c := range a.Explanation.Cells {
			if product, _, _ := strings.Cut(c.Cell, "/"); product == r.Product && c.Lenders < c.Listed {
				return fmt.Sprintf("; its scheduler uses only the part of each limit that %d of %d routers lend it", c.Lenders, c.Listed)
			}
		}
	}
	return ""
}

func shareTable(answers []TeamAnswer) *table.Table {
	t := &table.Table{Kind: "share", Title: "share and service", Header: []string{"SCHEDULER", "CELL", "LENDERS", "SHARE", "WAITING", "RUNNING", "SERVICE", "LEVEL"}}
	for _, a := range answers {
		for _, c := range a.Explanation.Cells {
			for _, v := range c.Teams {
				t.Add(a.Router, c.Cell, fmt.Sprintf("%d/%d", c.Lenders, c.Listed), strconv.Itoa(v.Share), strconv.Itoa(v.Waiting), strconv.Itoa(v.Running),
					strconv.FormatInt(v.Service, 10), strconv.FormatFloat(v.Level, 'f', 1, 64))
			}
		}
	}
	return t
}

func refusalTable(answers []TeamAnswer) *table.Table {
	t := &table.Table{Kind: "refusal", Title: "refusals since the routers started", Header: []string{"REASON", "COUNT", "BECAUSE"}}
	total := make(map[string]int64)
	for _, a := range answers {
		for name, n := range a.Explanation.Refusals {
			total[name] += n
		}
	}
	names := make([]string, 0, len(total))
	for name := range total {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		var r fleet.Reason
		_ = r.UnmarshalText([]byte(name))
		t.Add(name, strconv.FormatInt(total[name], 10), Describe(r))
	}
	return t
}

// outcome is the key by which recent requests are grouped.
type outcome struct {
	product string
	reason  fleet.Reason // the last one that indicates trouble
	what    string       // the last step
}

// recentTable groups the latest refusals, retries and failures of all routers by outcome, with one request of each group as an example.
func recentTable(answers []TeamAnswer) *table.Table {
	t := &table.Table{
		Kind: "recent", Title: "latest refusals, retries and failures",
		Header: []string{"PRODUCT", "REASON", "ENDED AS", "COUNT", "SUCH AS", "AT ROUTER", "HOW IT ENDED"},
	}
	var order []outcome
	count := map[outcome]int{}
	sample := map[outcome][]string{}
	for _, a := range answers {
		for _, e := range a.Explanation.Recent {
			g := outcomeOf(e)
			if count[g] == 0 {
				order = append(order, g)
				sample[g] = []string{e.Request, a.Router, summary(e.Steps)}
			}
			count[g]++
		}
	}
	sort.SliceStable(order, func(i, j int) bool { return count[order[i]] > count[order[j]] })
	for _, g := range order {
		t.Add(append([]string{g.product, g.reason.String(), g.what, strconv.Itoa(count[g])}, sample[g]...)...)
	}
	return t
}

func outcomeOf(e report.Explanation) outcome {
	g := outcome{product: e.Product}
	for _, v := range e.Steps {
		g.what = v.What
		if v.Reason.Failed() {
			g.reason = v.Reason
		}
	}
	return g
}

func millis(n int64) string { return (time.Duration(n) * time.Millisecond).String() }

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
