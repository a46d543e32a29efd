package digest

import "time"

//go:generate stringer -type=VersionCount -linecomment -output=enums_string.go

// StreamVersion says at which software version a stream began.
type StreamVersion struct {
	Attempt uint64 // hash of the caller and of the id of its attempt that brought the first event
	Version uint32 // hash of the version's name
	Sole    bool   // inferred from the only version that the service has had, not recorded when the stream began
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
	Several []uint64 // likewise, where the service has had several versions within the question's window
}

// VersionCount is the number of software versions that a service has had within some time; it is unknown to a router that may have missed some.
type VersionCount int

// Numbers of software versions.
const (
	VersionsUnknown VersionCount = iota // unknown
	VersionsOne                         // one
	VersionsSeveral                     // several
)
