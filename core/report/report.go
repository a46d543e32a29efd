package report

import (
	"mangolug.org/core/fleet"
	"mangolug.org/core/limit"
)

// Status is one router's account of itself and of the fleet as it sees it.
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
	RefusedNumber uint64       `json:"refusedNumber,omitempty"` // that version
	ControlBytes  int64        `json:"controlBytes"`            // sent to peers since start
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
	Link          string `json:"link,omitempty"` // why the router that is asked has no stream to it; empty while it has
}

// DataCentre is a data centre and whether it is in service.
type DataCentre struct {
	Name      string `json:"name"`
	InService bool   `json:"inService"`
}

// Cell is a scheduler's account of one cell.
type Cell struct {
	Cell    string   `json:"cell"`
	Term    uint64   `json:"term"`
	Lenders int      `json:"lenders"` // listed routers that follow this scheduler
	Listed  int      `json:"listed"`
	Servers []Server `json:"servers"`
	Teams   []Team   `json:"teams"`
}

// Server is a scheduler's account of one backend server.
type Server struct {
	Name       string       `json:"name"`
	DataCentre string       `json:"dataCentre"`
	Ceiling    int          `json:"ceiling"`
	Learnt     int          `json:"learnt"`  // learnt limit
	Usable     int          `json:"usable"`  // of the learnt limit, what this scheduler may use
	Running    int          `json:"running"` // outstanding grants
	Foreign    int          `json:"foreign"` // reported load that no grant explains
	Held       fleet.Reason `json:"held"`    // why it takes no new work; none if it does

	Lowered       limit.Cause `json:"lowered"`       // why the learnt limit was last lowered; none if it never was
	LoweredMillis int64       `json:"loweredMillis"` // since then
	LoweredFrom   int         `json:"loweredFrom"`
	LoweredTo     int         `json:"loweredTo"`
}

// Team is a scheduler's account of one team.
type Team struct {
	Name    string  `json:"name"`
	Share   int     `json:"share"`
	Waiting int     `json:"waiting"`
	Running int     `json:"running"`
	Service int64   `json:"service"` // cost units since this scheduler began
	Level   float64 `json:"level"`   // virtual time relative to the least backlogged team
}

// Room is one team's waiting room for one product at a router.
type Room struct {
	Team             string       `json:"team"`
	Product          string       `json:"product"`
	Waiting          int          `json:"waiting"`
	Running          int          `json:"running"`
	OldestWaitMillis int64        `json:"oldestWaitMillis"`
	Scheduler        string       `json:"scheduler"`
	Why              fleet.Reason `json:"why"`
}

// Explanation is the story of one request, oldest step first.
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

// TeamExplanation says how a team fares at one router and why it waits.
type TeamExplanation struct {
	Team     string           `json:"team"`
	Share    int              `json:"share"`
	Rooms    []Room           `json:"rooms"`
	Cells    []Cell           `json:"cells"`    // cells scheduled here, this team only
	Refusals map[string]int64 `json:"refusals"` // by reason, since this router started
	Recent   []Explanation    `json:"recent"`   // latest refusals and failures, newest first
}
