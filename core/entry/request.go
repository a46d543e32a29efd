package entry

import (
	"time"

	"mangolug.org/core/fleet"
)

// Request is one caller's request that waits for a grant.
type Request struct {
	ID       string
	Team     string
	Product  string
	Estimate int64         // expected cost, in cost units
	Bytes    int64         // bytes held while it waits
	Deadline time.Duration // on the same clock as now
	Prefix   uint64        // prompt prefix hash; 0 for none
	Retry    bool          // a further attempt of a request that was granted before
}

// Verdict is the answer to a waiting request: a grant, or a refusal with its reason.
type Verdict struct {
	Request    string
	Reason     fleet.Reason // ReasonGranted, or why it was refused
	RetryAfter time.Duration
	Cell       fleet.Cell
	Term       uint64
	Grant      fleet.Grant
	Expires    time.Duration // the request must be written before this time
	Waited     time.Duration
}

// Outgoing is a demand to be sent to one router.
type Outgoing struct {
	To     string
	Demand fleet.Demand
}
