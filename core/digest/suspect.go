package digest

import "time"

// Suspect is what a router knows of a prompt part, or of a whole request, under which servers ended.
type Suspect struct {
	Service    uint32        // hash of the service's name
	ID         uint64        // of the part, or the fingerprint of the request
	Request    bool          // a whole request; otherwise a prompt part
	Crashes    []Crash       // since it was cleared
	Cleared    bool          // a server responded to such a request after some crashes
	ClearedAge time.Duration // time since the newest such response
	Trials     int64         // number of requests that tried it after it was found to crash servers
	TriedAge   time.Duration // time since the latest one
}

// Crash is the end of a server under requests.
type Crash struct {
	Server   uint32 // hash of the incarnation
	Age      time.Duration
	Answered bool // the server had just begun to answer such a request
}
