package rule

import (
	"fmt"
	"strings"
)

//go:generate stringer -type=Reason -linecomment -output=reason_string.go

// Reason says what is wrong with a word or line of a rule file.
type Reason int

// Reasons for refusing a rule file; the text after each is its name in reports.
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

// MarshalText gives the reason's name.
func (r Reason) MarshalText() ([]byte, error) { return []byte(r.String()), nil }

// Error is one fault in a rule file and what to write instead.
type Error struct {
	Line    int    `json:"line"`   // from 1
	Column  int    `json:"column"` // in bytes, from 1
	Reason  Reason `json:"reason"`
	Text    string `json:"text"`    // the words at fault; empty if words are missing
	Instead string `json:"instead"` // what to write instead
}

// Error gives the fault on one line.
func (e *Error) Error() string {
	if e.Text == "" {
		return fmt.Sprintf("%d:%d: %s: %s", e.Line, e.Column, e.Reason, e.Instead)
	}
	return fmt.Sprintf("%d:%d: %s %q: %s", e.Line, e.Column, e.Reason, e.Text, e.Instead)
}

// Errors holds every fault of a refused rule file, in the order of the lines.
type Errors struct {
	List []Error
}

// Error gives the first faults, one a line, and the number of the others.
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
