package report

import (
	"mangolug.org/core/fleet"
	"mangolug.org/core/limit"
)

// Status is the status of one router, and of the fleet in that router's view.
type Status struct {
	Router        string       `json:"router"`
	DataCentre    string       `json:"dataCentre"`
	Incarnation   uint64       `json:"incarnation"`
	Ready         bool         `json:"ready"`
	Draining      bool         `json:"draining"`
	Majority      bool         `json:"majority"`
	UptimeMillis  int64        `json:"uptimeMillis"`
	ConfigVersion uint64       `json:"configVersion"`
	ConfigDigest  string       `json:"configDigest"`
	ConfigRefused string       `json:"configRefused,omitempty"` // why the newest version seen was refused
	RefusedNumber uint64       `json:"refusedNumber,omitempty"` // number of the refused version
	ControlBytes  int64        `json:"controlBytes"`            // sent to peers since the start of the process
	Peers         []Peer       `json:"peers"`
	DataCentres   []DataCentre `json:"dataCentres"`
	Cells         []Cell       `json:"cells"` // cells that this router schedules
	Rooms         []Room       `json:"rooms"` // teams with requests waiting or running here
}

// Peer is a router on the platform's list.
type Peer struct {
	Name          string `json:"name"`
	Admin         string `json:"admin"`
	DataCentre    string `json:"dataCentre"`
	Live          bool   `json:"live"`
	Draining      bool   `json:"draining"`
	SilentMillis  int64  `json:"silentMillis"`
	ConfigVersion uint64 `json:"configVersion"`
	Link          string `json:"link,omitempty"` // why the reporting router has no stream to the peer; empty if it has one
}

// DataCentre reports whether a data centre is in service.
type DataCentre struct {
	Name      string `json:"name"`
	InService bool   `json:"inService"`
}

// Cell is the status of one cell at its scheduler.
type Cell struct {
	Cell    string   `json:"cell"`
	Term    uint64   `json:"term"`
	Lenders int      `json:"lenders"` // listed routers that follow this scheduler
	Listed  int      `json:"listed"`
	Servers []Server `json:"servers"`
	Teams   []Team   `json:"teams"`
}

// Server is the status of one backend server at its scheduler.
type Server struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"dataCentre"`
	Ceiling    int          `json:"ceiling"`
	Learnt     int          `json:"learnt"`  // learnt limit
	Usable     int          `json:"usable"`  // part of the learnt limit that this scheduler may use
	Running    int          `json:"running"` // outstanding grants
	Foreign    int          `json:"foreign"` // reported load that no grant accounts for
	Held       fleet.Reason `json:"held"`    // why the server takes no new requests; none if it takes them

	Lowered       limit.Cause `json:"lowered"`       // why the learnt limit was last lowered; none if it never was
	LoweredMillis int64       `json:"loweredMillis"` // milliseconds since the limit was last lowered
	LoweredFrom   int         `json:"loweredFrom"`
	LoweredTo     int         `json:"loweredTo"`
}

// Team is the status of one team at a scheduler.
type Team struct {
	Name    string  `json:"name"`
	Share   int     `json:"share"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Service int64   `json:"service"` // cost units since this scheduler started
	Level   float64 `json:"level"`   // virtual time relative to the least backlogged team
}

// Room is the status of one team's queue for one product at a router.
type Room struct {
	Team             string       `json:"team"`
	Product          string       `json:"product"`
	Waiting          int          `json:"waiting"`
	Running          int          `json:"running"`
	OldestWaitMillis int64        `json:"oldestWaitMillis"`
	Scheduler        string       `json:"scheduler"`
	Why              fleet.Reason `json:"why"`
}

// Explanation lists the decisions on one request, oldest first.
type Explanation struct {
	Request string `json:"request"`
	Team    string `json:"team"`
	Product string `json:"product"`
	Steps   []Step `json:"steps"`
}

// Step is one decision on a request.
type Step struct {
	AtMillis int64        `json:"atMillis"` // since the request arrived
	What     string       `json:"what"`     // arrived, held, granted, sent, retried, refused, answered
	Reason   fleet.Reason `json:"reason"`
	Server   string       `json:"server,omitempty"`
	Detail   string       `json:"detail,omitempty"`
}

// TeamExplanation reports how a team is served at one router, and why its requests wait.
type TeamExplanation struct {
	Team     string           `json:"team"`
	Share    int              `json:"share"`
	Rooms    []Room           `json:"rooms"`
	Cells    []Cell           `json:"cells"`    // cells that this router schedules, with this team only
	Refusals map[string]int64 `json:"refusals"` // by reason, since this router started
	Recent   []Explanation    `json:"recent"`   // latest refusals and failures, newest first
}
