package rule

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

//go:generate stringer -type=What -linecomment -output=what_string.go

// What is the kind of a change between two rule files.
type What int

// Kinds of change; the text after each is its name in reports.
const (
	WhatNone                    What = iota // none
	WhatDataCentreAdded                     // dataCentreAdded
	WhatDataCentreRemoved                   // dataCentreRemoved
	WhatDataCentreTakenOut                  // dataCentreTakenOut
	WhatDataCentreBroughtBack               // dataCentreBroughtBack
	WhatProductAdded                        // productAdded
	WhatProductRemoved                      // productRemoved
	WhatProductKindChanged                  // productKindChanged
	WhatNonIdempotentChanged                // nonIdempotentCallsChanged
	WhatServerAdded                         // serverAdded
	WhatServerRemoved                       // serverRemoved
	WhatServerProductChanged                // serverProductChanged
	WhatServerDataCentreChanged             // serverDataCentreChanged
	WhatServerAddressChanged                // serverAddressChanged
	WhatServerLimitChanged                  // serverLimitChanged
	WhatServerFencingChanged                // serverFencingChanged
	WhatTeamAdded                           // teamAdded
	WhatTeamRemoved                         // teamRemoved
	WhatTeamShareChanged                    // teamShareChanged
	WhatTeamKeyChanged                      // teamKeyChanged
	WhatCommentChanged                      // commentChanged
)

// MarshalText gives the change's name.
func (w What) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Change is one difference between two rule files.
type Change struct {
	What    What   `json:"what"`
	Name    string `json:"name"`          // of the data centre, product, server or team
	Old     string `json:"old,omitempty"` // what held before; empty if the thing is new
	New     string `json:"new,omitempty"` // what holds now; empty if the thing is gone
	Comment string `json:"comment"`       // who asked: of the new line, or of the old if the thing is gone
}

// Diff lists the changes from an older file to a newer one, data centres first and by name; either may be nil.
func Diff(old, latest *File) []Change {
	if old == nil {
		old = &File{}
	}
	if latest == nil {
		latest = &File{}
	}
	var d differ
	d.diff(old.dataCentreThings(), latest.dataCentreThings(), WhatDataCentreAdded, WhatDataCentreRemoved)
	d.diff(old.productThings(), latest.productThings(), WhatProductAdded, WhatProductRemoved)
	d.diff(old.serverThings(), latest.serverThings(), WhatServerAdded, WhatServerRemoved)
	d.diff(old.teamThings(), latest.teamThings(), WhatTeamAdded, WhatTeamRemoved)
	return d.changes
}

// attribute is a part of a rule that may change; what depends on the new value.
type attribute struct {
	what  What
	value string
}

// thing is one rule as a name, its parts, and the words that sum it up.
type thing struct {
	name       string
	attributes []attribute
	summary    string
	comment    string
}

type differ struct{ changes []Change }

func (d *differ) diff(old, latest []thing, added, removed What) {
	before := make(map[string]*thing, len(old))
	for i := range old {
		before[old[i].name] = &old[i]
	}
	first := len(d.changes)
	for i := range latest {
		t := &latest[i]
		b, found := before[t.name]
		delete(before, t.name)
		if !found {
			d.changes = append(d.changes, Change{What: added, Name: t.name, New: t.summary, Comment: t.comment})
			continue
		}
		d.compare(b, t)
	}
	for _, b := range before {
		d.changes = append(d.changes, Change{What: removed, Name: b.name, Old: b.summary, Comment: b.comment})
	}
	fresh := d.changes[first:]
	sort.SliceStable(fresh, func(i, j int) bool { return fresh[i].Name < fresh[j].Name })
}

// compare lists what changed in one rule; a changed comment alone is a change too.
func (d *differ) compare(b, t *thing) {
	same := true
	for i, a := range t.attributes {
		if was := b.attributes[i].value; was != a.value {
			same = false
			d.changes = append(d.changes, Change{What: a.what, Name: t.name, Old: was, New: a.value, Comment: t.comment})
		}
	}
	if same && b.comment != t.comment {
		d.changes = append(d.changes,
			Change{What: WhatCommentChanged, Name: t.name, Old: b.comment, New: t.comment, Comment: t.comment})
	}
}

func (f *File) dataCentreThings() []thing {
	things := make([]thing, 0, len(f.DataCentres))
	for _, c := range f.DataCentres {
		what := WhatDataCentreTakenOut
		if c.InService {
			what = WhatDataCentreBroughtBack
		}
		things = append(things, thing{
			name: c.Name, summary: c.state(), comment: c.Comment,
			attributes: []attribute{{what, c.state()}},
		})
	}
	return things
}

func (f *File) productThings() []thing {
	things := make([]thing, 0, len(f.Products))
	for _, p := range f.Products {
		calls := make([]string, 0, len(p.Once))
		for _, c := range p.Once {
			calls = append(calls, c.Method+" "+c.Path)
		}
		sort.Strings(calls)
		things = append(things, thing{
			name: p.Name, summary: p.Kind.String(), comment: p.Comment,
			attributes: []attribute{
				{WhatProductKindChanged, p.Kind.String()},
				{WhatNonIdempotentChanged, strings.Join(calls, ", ")},
			},
		})
	}
	return things
}

func (f *File) serverThings() []thing {
	things := make([]thing, 0, len(f.Servers))
	for _, s := range f.Servers {
		things = append(things, thing{
			name: s.Name, comment: s.Comment,
			summary: fmt.Sprintf("%s in %s at %s, limit %d", s.Product, s.DataCentre, s.Address, s.Limit),
			attributes: []attribute{
				{WhatServerProductChanged, s.Product},
				{WhatServerDataCentreChanged, s.DataCentre},
				{WhatServerAddressChanged, s.Address},
				{WhatServerLimitChanged, strconv.Itoa(s.Limit)},
				{WhatServerFencingChanged, fencingText(s.Fencing)},
			},
		})
	}
	return things
}

func fencingText(checks bool) string {
	if checks {
		return "checks fencing"
	}
	return "ignores fencing"
}

func (f *File) teamThings() []thing {
	things := make([]thing, 0, len(f.Teams))
	for _, t := range f.Teams {
		share := strconv.Itoa(t.Share)
		things = append(things, thing{
			name: t.Name, summary: "share " + share, comment: t.Comment,
			attributes: []attribute{
				{WhatTeamShareChanged, share},
				{WhatTeamKeyChanged, t.digestText()},
			},
		})
	}
	return things
}
