package rule

import (
	"fmt"
	"strings"
)

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// Reason is the reason why a word or line of a rule file is invalid.
type Reason int

// Reasons for rejecting a rule file. The comment after each is its name in reports.
const (
	ReasonNone           Reason = iota // none
	ReasonUnknownWord                  // unknownWord
	ReasonMissingWord                  // missingWord
	ReasonExtraWord                    // extraWord
	ReasonDuplicate                    // duplicate
	ReasonDangling                     // dangling
	ReasonBadName                      // badName
	ReasonReservedName                 // reservedName
	ReasonBadNumber                    // badNumber
	ReasonBadAddress                   // badAddress
	ReasonBadDigest                    // badDigest
	ReasonBadMethod                    // badMethod
	ReasonBadPath                      // badPath
	ReasonBadText                      // badText
	ReasonMissingComment               // missingComment
	ReasonEmptyFile                    // emptyFile
)

// MarshalText returns the reason's name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Error is one fault in a rule file, with a suggested correction.
type Error struct {
	Line    int    `json:"line"`   // from 1
	Column  int    `json:"column"` // in bytes, from 1
	Reason  Reason `json:"reason"`
	Text    string `json:"text"`    // the invalid words; empty if words are missing
	Instead string `json:"instead"` // what to write instead
}

// Error returns the position, reason and correction as one line.
func (e *Error) Error() string {
	if e.Text == "" {
		return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Reason, e.Instead)
	}
	return fmt.Sprintf("%d:%d: %s %q: %s", e.Line, e.Column, e.Reason, e.Text, e.Instead)
}

// Errors holds all faults of a rejected rule file, ordered by line and column.
type Errors struct {
	List []Error
}

// Error returns the first ten faults, one per line, and the number of the others.
func (e *Errors) Error() string {
	const shown = 10
	lines := make([]string, 0, shown+1)
	for i := range e.List {
		if i == shown {
			lines = append(lines, fmt.Sprintf("and %d more", len(e.List)-shown))
			break
		}
		lines = append(lines, e.List[i].Error())
	}
	return strings.Join(lines, "\n")
}
