package relay

import (
	"errors"
	"strings"
	"testing"

	"mangolug.org/router/back"
)

// TestEventOrder guards against events passed on although they repeat, go back, or leave out events between two runs, and against
// sound events that are not passed on.
func TestEventOrder(t *testing.T) {
	type run struct {
		events  string // ids, separated by spaces; "-" for an event without one, ":" for a comment
		resumes bool
	}
	for name, c := range map[string]struct {
		last     string // event that the caller has already
		runs     []run
		rejected string // the event that is not accepted; empty if all are
		step     IDStep
		blind    bool
	}{
		"rises":                                  {runs: []run{{events: "1 2 3"}}},
		"rises by more than one":                 {runs: []run{{events: "1 4 9"}}},
		"repeats":                                {runs: []run{{events: "1 2 2"}}, rejected: "2", step: IDRepeated},
		"goes back":                              {runs: []run{{events: "1 2 3 2"}}, rejected: "2", step: IDLower},
		"an id is missing":                       {runs: []run{{events: "1 -"}}, rejected: "", step: IDMissing},
		"an id is no number":                     {runs: []run{{events: "1 x"}}, rejected: "x", step: IDNotNumber},
		"comments":                               {runs: []run{{events: ": 1 : : 2 :"}}},
		"resumes":                                {runs: []run{{events: "1 2"}, {events: ": 3 4", resumes: true}}},
		"resumes from the start":                 {runs: []run{{events: "1 2"}, {events: "1 2 3", resumes: true}}, rejected: "1", step: IDLower},
		"resumes with the last event":            {runs: []run{{events: "1 2"}, {events: "2 3", resumes: true}}, rejected: "2", step: IDRepeated},
		"resumes behind a gap":                   {runs: []run{{events: "1 2"}, {events: ": 4", resumes: true}}, rejected: "4", step: IDSkips},
		"resumes behind a gap as gaps are usual": {runs: []run{{events: "1 3"}, {events: "7 9", resumes: true}}},
		"the caller resumes":                     {last: "12", runs: []run{{events: "13 14"}}},
		"the caller resumes, begun anew":         {last: "12", runs: []run{{events: "1 2"}}, rejected: "1", step: IDLower},
		"no ids":                                 {runs: []run{{events: "- - -"}}, blind: true},
		"ids that are no numbers":                {runs: []run{{events: "a b a"}}, blind: true},
	} {
		t.Run(name, func(t *testing.T) {
			o := eventOrder{last: c.last}
			var err error
			for _, r := range c.runs {
				resumes := r.resumes
				for id := range strings.FieldsSeq(r.events) {
					event := back.Event{ID: id}
					switch id {
					case "-":
						event.ID = ""
					case ":":
						event = back.Event{Comment: true}
					}
					if err == nil {
						err = o.accept(event, resumes)
					}
					resumes = resumes && event.Comment
				}
			}
			var order *OrderError
			if found := errors.As(err, &order); found != (c.step != IDRises) || found && (order.Step != c.step || order.Got != c.rejected) {
				t.Errorf("got %v, want %q rejected as %v", err, c.rejected, c.step)
			}
			if o.blind != c.blind {
				t.Errorf("blind %v, want %v", o.blind, c.blind)
			}
		})
	}
}
