package digest

import "time"

// Suspect is what a router knows of a prompt part whose requests ran on servers that ended.
type Suspect struct {
	Service    uint32 // hash of the service's name
	Part       uint64
	Crashes    []Crash       // since the part was cleared
	Cleared    bool          // a server responded to the part after some crashes
	ClearedAge time.Duration // time since the newest such response
	Trials     int64         // number of requests that tried the part after it was found to crash servers
	TriedAge   time.Duration // time since the latest one
}

// Crash is the end of a server under requests.
type Crash struct {
	Server   uint32 // hash of the incarnation
	Age      time.Duration
	Answered bool // the server had just begun to answer a prompt with the part
}
