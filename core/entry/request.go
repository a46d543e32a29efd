package entry

import (
	"time"

	"mangolug.org/core/fleet"
)

// Request is a caller's request that waits for a grant.
type Request struct {
	ID       string        `json:"id,omitempty"`
	Team     string        `json:"team,omitempty"`
	Product  string        `json:"product,omitempty"`
	Estimate int64         `json:"estimate,omitempty"` // expected cost, in cost units
	Bytes    int64         `json:"bytes,omitempty"`    // memory held while it waits, in bytes
	Deadline time.Duration `json:"deadline,omitempty"` // on the same clock as now
	Prefix   uint64        `json:"prefix,omitempty"`   // prompt prefix hash; 0 for none
	Retry    bool          `json:"retry,omitempty"`    // a further attempt of a request that was granted before
}

// Verdict is the decision on a waiting request: a grant, or a rejection with its reason.
type Verdict struct {
	Request    string        `json:"request,omitempty"`
	Reason     fleet.Reason  `json:"reason,omitempty"` // ReasonGranted, or why the request was rejected
	RetryAfter time.Duration `json:"retryAfter,omitempty"`
	Cell       fleet.Cell    `json:"cell,omitempty"`
	Term       uint64        `json:"term,omitempty"`
	Grant      fleet.Grant   `json:"grant,omitempty"`
	Expires    time.Duration `json:"expires,omitempty"` // the request must be written to the server before this time
	Waited     time.Duration `json:"waited,omitempty"`
}

// Outgoing is a demand to be sent to a router.
type Outgoing struct {
	To     string       `json:"to,omitempty"`
	Demand fleet.Demand `json:"demand,omitempty"`
}
