package head

import (
	"fmt"
	"strconv"
	"strings"
)

const (
	// maxStatusLine is how much of a status line is looked at: the version, the status, and what follows it.
	maxStatusLine = 13
	// maxName is how much of a field's name is kept, for messages and to find the one below.
	maxName = 64
)

// transferEncoding is the name of a field that HTTP/1.0 doesn't have. A reader that ignores it there takes chunks for a body.
const transferEncoding = "transfer-encoding"

// Error reports that a head is not one of an HTTP/1 answer.
type Error struct {
	What string // what is wrong
	Text string // the beginning of the line
}

// Error returns what is wrong and the beginning of the line.
func (e *Error) Error() string {
	return fmt.Sprintf("malformed head of an answer: %s: %q", e.What, e.Text)
}

// part is the part of a head to which the next byte belongs.
type part int

const (
	partStatus part = iota
	partName
	partValue
	partDone
)

// Scanner checks the bytes of a connection from the begin of an answer up to the end of its head, with all interim answers before it. The zero value is
// ready to use.
type Scanner struct {
	part    part
	line    []byte // the beginning of the status line or of the name
	begun   bool   // the line has bytes
	interim bool   // the head is that of an interim answer
	old     bool   // it is of HTTP/1.0
}

// Done reports whether the head of the answer has ended.
func (s *Scanner) Done() bool { return s.part == partDone }

// Scan checks further bytes; those after the head are ignored. The error is an *Error.
func (s *Scanner) Scan(b []byte) error {
	for _, c := range b {
		var err error
		switch s.part {
		case partStatus:
			err = s.scanStatus(c)
		case partName:
			err = s.scanName(c)
		case partValue:
			if c == '\n' {
				s.next(partName)
			}
		case partDone:
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// next begins a line.
func (s *Scanner) next(p part) { s.part, s.line, s.begun = p, s.line[:0], false }

func (s *Scanner) fail(what string) error { return &Error{what, string(s.line)} }

func (s *Scanner) scanStatus(c byte) error {
	if c != '\n' {
		if len(s.line) < maxStatusLine {
			s.line = append(s.line, c)
		}
		return nil
	}
	version, rest, _ := strings.Cut(strings.TrimSuffix(string(s.line), "\r"), " ")
	if version != "HTTP/1.1" && version != "HTTP/1.0" {
		return s.fail("no version of HTTP/1")
	}
	status, _, _ := strings.Cut(rest, " ")
	if len(status) != 3 || status[0] < '1' || status[0] > '5' || strings.Trim(status, "0123456789") != "" {
		return s.fail("no status from 100 to 599")
	}
	s.interim, s.old = status[0] == '1' && status != "101", version == "HTTP/1.0"
	s.next(partName)
	return nil
}

func (s *Scanner) scanName(c byte) error {
	first := !s.begun
	s.begun = true
	if len(s.line) < maxName {
		s.line = append(s.line, c)
	}
	switch {
	case c == '\n' && (first || string(s.line) == "\r\n"):
		if s.interim {
			s.next(partStatus)
		} else {
			s.next(partDone)
		}
	case c == '\r' && first: // the end of the head, if a line feed follows
	case first && (c == ' ' || c == '\t'):
		return s.fail("a line that continues another")
	case c == ':' && !first && s.line[0] != '\r':
		if s.old && strings.EqualFold(string(s.line[:len(s.line)-1]), transferEncoding) {
			return s.fail("a transfer encoding in HTTP/1.0")
		}
		s.next(partValue)
	case !IsToken(c) || s.line[0] == '\r':
		return s.fail("the name of a field")
	}
	return nil
}

// CheckParsed returns an *Error if a parser that passes over malformed lines, such as net/http's, has kept a status or a name that no answer has.
func CheckParsed(status int, fields map[string][]string) error {
	if status < 100 || status > 599 {
		return &Error{"no status from 100 to 599", strconv.Itoa(status)}
	}
	for name := range fields {
		if !IsName(name) {
			return &Error{"the name of a field", name}
		}
	}
	return nil
}

// IsName reports whether a text may be the name of a field.
func IsName(text string) bool {
	for i := range len(text) {
		if !IsToken(text[i]) {
			return false
		}
	}
	return text != ""
}

// IsToken reports whether a byte may stand in the name of a field, by RFC 9110, section 5.6.2.
func IsToken(c byte) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return true
	}
	return strings.IndexByte("!#$%&'*+-.^_`|~", c) >= 0
}
