package pool

import (
	"slices"
	"strconv"
	"strings"
)

//go:generate stringer -type=SubjectKind -linecomment -output=enums_string.go

// SubjectKind is what a subject names.
type SubjectKind int

// Kinds of subjects; the line comments are the names in logs.
const (
	SubjectPart    SubjectKind = iota // part
	SubjectRequest                    // fingerprint
)

// subject is what requests that end servers may have in common: a part of their prompts, or their fingerprint.
type subject struct {
	kind SubjectKind
	id   uint64
}

// subjects returns the shared parts of a request's prompt, and its fingerprint if it has one.
func (a *Request) subjects() []subject {
	shared := a.sharedSegments()
	list := make([]subject, 0, len(shared)+1)
	for _, s := range shared {
		list = append(list, subject{SubjectPart, s.ID})
	}
	if a.Fingerprint != 0 {
		list = append(list, subject{SubjectRequest, a.Fingerprint})
	}
	return list
}

func (s subject) name() string { return strconv.FormatUint(s.id, 16) }

// containsAll reports whether a list has all of some subjects.
func containsAll(list, some []subject) bool {
	for _, s := range some {
		if !slices.Contains(list, s) {
			return false
		}
	}
	return true
}

// maxLoggedSubjects bounds the length of a log line.
const maxLoggedSubjects = 16

// joinNames returns the names of those subjects of a list that are of one kind, for a log line.
func joinNames(list []subject, kind SubjectKind) string {
	var names []string
	for _, s := range list {
		if s.kind == kind && len(names) < maxLoggedSubjects {
			names = append(names, s.name())
		}
	}
	return strings.Join(names, ",")
}

// PartNames returns the IDs of prompt segments for a log line.
func PartNames(segments []Segment) string {
	a := Request{Segments: append(slices.Clone(segments), Segment{})}
	return joinNames(a.subjects(), SubjectPart)
}
