package digest

import "time"

//go:generate stringer -type=VersionCount -linecomment -output=enums_string.go

// StreamVersion says at which software version a stream began.
type StreamVersion struct {
	Attempt uint64 // hash of the caller and of the id of its attempt that brought the first event
	Version uint32 // hash of the version's name
	Sole    bool   // inferred from the only version that the service has had, not recorded when the stream began
	Earlier bool   // inferred from the only version that the service had before others joined it
}

// StreamQuestion asks at which software version a stream began.
type StreamQuestion struct {
	Attempt uint64
	Service uint32        // hash of the service's name
	Window  time.Duration // the stream began within it
}

// Streams is what a router tells or asks another one of callers' streams.
type Streams struct {
	Told    []StreamVersion
	Asked   []StreamQuestion
	Unknown []uint64 // attempts that the receiver asked for and the sender doesn't know
	Several []SeveralVersions
}

// SeveralVersions answers a question about a stream that the sender doesn't know, where the service has had several versions within the question's window.
type SeveralVersions struct {
	Attempt uint64
	Earlier uint32 // version at which the stream began, as the sender would have been told of one that began at another; 0 if it can't tell
}

// Versions is what a router knows of the software versions of a service within some time.
type Versions struct {
	Count   VersionCount
	Sole    uint32 // the version, if there was only one
	Earlier uint32 // the only version there was until others joined, of whose streams this router would have been told since; 0 if that is not known
}

// VersionCount is the number of software versions that a service has had within some time; it is unknown to a router that may have missed some.
type VersionCount int

// Numbers of software versions.
const (
	VersionsUnknown VersionCount = iota // unknown
	VersionsOne                         // one
	VersionsSeveral                     // several
)
