package rule

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
)

//go:generate stringer -type=What -linecomment -output=what_string.go

// What is the kind of a change.
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

// MarshalText returns the name of the kind of change.
func (w What) MarshalText() ([]byte, error) { return []byte(w.String()), nil }

// Change is one difference between two rule files.
type Change struct {
	What    What   `json:"what"`
	Name    string `json:"name"`          // name of the data centre, product, server or team
	Old     string `json:"old,omitempty"` // value before the change; empty if the rule was added
	New     string `json:"new,omitempty"` // value after the change; empty if the rule was removed
	Comment string `json:"comment"`       // who asked: the comment of the new line, or of the old line if the rule was removed
}

// Diff returns the changes from an older file to a newer one: data centres, products, servers, then teams, each ordered by name.
// Either file may be nil, which counts as empty.
func Diff(old, latest *File) []Change {
	if old == nil {
		old = &File{}
	}
	if latest == nil {
		latest = &File{}
	}
	var d differ
	d.diff(old.dataCentreEntries(), latest.dataCentreEntries(), WhatDataCentreAdded, WhatDataCentreRemoved)
	d.diff(old.productEntries(), latest.productEntries(), WhatProductAdded, WhatProductRemoved)
	d.diff(old.serverEntries(), latest.serverEntries(), WhatServerAdded, WhatServerRemoved)
	d.diff(old.teamEntries(), latest.teamEntries(), WhatTeamAdded, WhatTeamRemoved)
	return d.changes
}

// attribute is a part of a rule that may change. The kind of the change may depend on the new value.
type attribute struct {
	what  What
	value string
}

// entry is a rule in the form in which files are compared.
type entry struct {
	name       string
	attributes []attribute
	summary    string
	comment    string
}

type differ struct{ changes []Change }

func (d *differ) diff(old, latest []entry, added, removed What) {
	oldByName := make(map[string]*entry, len(old))
	for i := range old {
		oldByName[old[i].name] = &old[i]
	}
	first := len(d.changes)
	for i := range latest {
		t := &latest[i]
		previous, found := oldByName[t.name]
		delete(oldByName, t.name)
		if !found {
			d.changes = append(d.changes, Change{What: added, Name: t.name, New: t.summary, Comment: t.comment})
			continue
		}
		d.compare(previous, t)
	}
	for _, b := range oldByName {
		d.changes = append(d.changes, Change{What: removed, Name: b.name, Old: b.summary, Comment: b.comment})
	}
	section := d.changes[first:]
	sort.SliceStable(section, func(i, j int) bool { return section[i].Name < section[j].Name })
}

// compare adds the changes of one rule. A changed comment is reported only if nothing else changed.
func (d *differ) compare(previous, current *entry) {
	same := true
	for i, a := range current.attributes {
		if oldValue := previous.attributes[i].value; oldValue != a.value {
			same = false
			d.changes = append(d.changes, Change{What: a.what, Name: current.name, Old: oldValue, New: a.value, Comment: current.comment})
		}
	}
	if same && previous.comment != current.comment {
		d.changes = append(d.changes,
			Change{What: WhatCommentChanged, Name: current.name, Old: previous.comment, New: current.comment, Comment: current.comment})
	}
}

func (f *File) dataCentreEntries() []entry {
	entries := make([]entry, 0, len(f.DataCentres))
	for _, c := range f.DataCentres {
		what := WhatDataCentreTakenOut
		if c.InService {
			what = WhatDataCentreBroughtBack
		}
		entries = append(entries, entry{
			name: c.Name, summary: c.state(), comment: c.Comment,
			attributes: []attribute{{what, c.state()}},
		})
	}
	return entries
}

func (f *File) productEntries() []entry {
	entries := make([]entry, 0, len(f.Products))
	for _, p := range f.Products {
		calls := make([]string, 0, len(p.NonIdempotent))
		for _, c := range p.NonIdempotent {
			calls = append(calls, c.Method+" "+c.Path)
		}
		sort.Strings(calls)
		entries = append(entries, entry{
			name: p.Name, summary: p.Kind.String(), comment: p.Comment,
			attributes: []attribute{
				{WhatProductKindChanged, p.Kind.String()},
				{WhatNonIdempotentChanged, strings.Join(calls, ", ")},
			},
		})
	}
	return entries
}

func (f *File) serverEntries() []entry {
	entries := make([]entry, 0, len(f.Servers))
	for _, s := range f.Servers {
		entries = append(entries, entry{
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
	return entries
}

func fencingText(fencing bool) string {
	if fencing {
		return "checks fencing"
	}
	return "ignores fencing"
}

func (f *File) teamEntries() []entry {
	entries := make([]entry, 0, len(f.Teams))
	for _, t := range f.Teams {
		share := strconv.Itoa(t.Share)
		entries = append(entries, entry{
			name: t.Name, summary: "share " + share, comment: t.Comment,
			attributes: []attribute{
				{WhatTeamShareChanged, share},
				{WhatTeamKeyChanged, t.digestText()},
			},
		})
	}
	return entries
}
