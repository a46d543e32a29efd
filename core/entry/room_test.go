package entry

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
	"mangolug.org/core/report"
)

const (
	testProduct = "stain-llm"
	scheduler   = "router-2"
)

var testCell = fleet.Cell{Product: testProduct}

func request(id, team string) Request {
	return Request{ID: id, Team: team, Product: testProduct, Estimate: 10, Bytes: 100, Deadline: time.Minute}
}

func grant(id uint64, team string) fleet.Grants {
	return fleet.Grants{Cell: testCell, Term: 7, Grants: []fleet.Grant{{ID: id, Team: team, Server: "stain-1"}}}
}

// newRoom returns a Room whose scheduler got its first full demand.
func newRoom(s Settings) *Room {
	r := &Room{Self: "router-1", Settings: s}
	r.Follow(0, testCell, scheduler)
	r.Demands(0)
	return r
}

func reasons(verdicts []Verdict) []string {
	list := []string{}
	for _, v := range verdicts {
		list = append(list, v.Request+" "+v.Reason.String())
	}
	return list
}

func TestArriveRefuses(t *testing.T) {
	tests := map[string]struct {
		settings Settings
		served   func(string) bool
		before   func(r *Room)
		request  Request
		want     []string
	}{
		"room": {request: request("b", "joiners"), want: []string{}},
		"queue full": {
			settings: Settings{QueueLength: 1},
			before:   func(r *Room) { r.Enqueue(0, request("a", "joiners")) },
			request:  request("b", "joiners"),
			want:     []string{"b queueFull"},
		},
		"another team's queue is full": {
			settings: Settings{QueueLength: 1},
			before:   func(r *Room) { r.Enqueue(0, request("a", "turners")) },
			request:  request("b", "joiners"),
			want:     []string{},
		},
		"queue bytes": {
			settings: Settings{QueueBytes: 150},
			before:   func(r *Room) { r.Enqueue(0, request("a", "joiners")) },
			request:  request("b", "joiners"),
			want:     []string{"b queueBytes"},
		},
		"a retry keeps its place": {
			settings: Settings{QueueLength: 1},
			before:   func(r *Room) { r.Enqueue(0, request("a", "joiners")) },
			request:  Request{ID: "b", Team: "joiners", Product: testProduct, Deadline: time.Minute, Retry: true},
			want:     []string{},
		},
		"deadline passed": {
			request: Request{ID: "b", Team: "joiners", Product: testProduct},
			want:    []string{"b deadlinePassed"},
		},
		"no server": {
			served:  func(string) bool { return false },
			request: request("b", "joiners"),
			want:    []string{"b noServer"},
		},
		"would miss its deadline": {
			before: func(r *Room) {
				grantAtRate(r, minRateSamples, time.Second)
			},
			request: Request{ID: "b", Team: "joiners", Product: testProduct, Deadline: minRateSamples*time.Second + 2*time.Second},
			want:    []string{"b wouldMissDeadline"},
		},
		"too few grants for an estimate": {
			before: func(r *Room) {
				grantAtRate(r, minRateSamples-1, time.Second)
			},
			request: Request{ID: "b", Team: "joiners", Product: testProduct, Deadline: minRateSamples*time.Second + 2*time.Second},
			want:    []string{},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRoom(tt.settings)
			if tt.before != nil {
				tt.before(r)
			}
			r.Served = tt.served
			now := time.Duration(0)
			if tt.request.Deadline != time.Minute && tt.request.Deadline > 0 {
				now = minRateSamples * time.Second
			}
			if d := cmp.Diff(tt.want, reasons(r.Enqueue(now, tt.request))); d != "" {
				t.Error(d)
			}
		})
	}
}

// grantAtRate grants the given number of the team's requests, one per interval, and leaves three waiting.
func grantAtRate(r *Room, grants int, interval time.Duration) {
	for i := range grants + 3 {
		r.Enqueue(0, request(fmt.Sprint("first-", i), "joiners"))
	}
	for i := range grants {
		at := time.Duration(i+1) * interval
		g := grant(uint64(i+1), "joiners")
		g.Basis = at.Milliseconds()
		r.Grants(at, scheduler, at.Milliseconds(), g)
	}
}

func TestRetryAfterIsSpreadAndSeeded(t *testing.T) {
	retryDelays := func(seed uint64) []time.Duration {
		r := &Room{Seed: seed, Settings: Settings{QueueLength: 1}}
		r.Enqueue(0, request("a", "joiners"))
		var list []time.Duration
		for i := range 50 {
			v := r.Enqueue(0, request(fmt.Sprint(i), "joiners"))[0]
			if v.RetryAfter < DefaultRetryAfter/2 || v.RetryAfter >= DefaultRetryAfter*3/2 {
				t.Fatalf("RetryAfter %v is out of range", v.RetryAfter)
			}
			list = append(list, v.RetryAfter)
		}
		return list
	}
	if d := cmp.Diff(retryDelays(3), retryDelays(3)); d != "" {
		t.Errorf("delays differ for the same seed: %s", d)
	}
	if cmp.Equal(retryDelays(3), retryDelays(4)) {
		t.Error("delays are equal for different seeds")
	}
}

func TestGrantsUsed(t *testing.T) {
	life := fleet.GrantLifetime.Milliseconds()
	tests := map[string]struct {
		from   string
		clock  int64
		grants []fleet.Grants
		want   []string
		unused Unused
	}{
		"first in, first out": {
			from: scheduler, grants: []fleet.Grants{grant(1, "joiners"), grant(2, "joiners")},
			want: []string{"a granted", "b granted"},
		},
		"from another router": {
			from: "router-3", grants: []fleet.Grants{grant(1, "joiners")},
			want: []string{}, unused: Unused{Foreign: 1},
		},
		"for a cell that is not known": {
			from: scheduler, grants: []fleet.Grants{{Cell: fleet.Cell{Product: "teak"}, Grants: []fleet.Grant{{ID: 1, Team: "joiners"}}}},
			want: []string{}, unused: Unused{Foreign: 1},
		},
		"duplicate": {
			from: scheduler, grants: []fleet.Grants{grant(2, "joiners"), grant(2, "joiners"), grant(1, "joiners")},
			want: []string{"a granted"}, unused: Unused{Duplicate: 2},
		},
		"at the end of its lifetime": {
			from: scheduler, clock: life - 1, grants: []fleet.Grants{grant(1, "joiners")},
			want: []string{"a granted"},
		},
		"lapsed": {
			from: scheduler, clock: life, grants: []fleet.Grants{grant(1, "joiners")},
			want: []string{}, unused: Unused{Lapsed: 1},
		},
		"no request waits": {
			from: scheduler, grants: []fleet.Grants{grant(1, "turners")},
			want: []string{}, unused: Unused{Unwanted: 1},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRoom(Settings{})
			r.Enqueue(0, request("a", "joiners"))
			r.Enqueue(0, request("b", "joiners"))
			var verdicts []Verdict
			for _, g := range tt.grants {
				verdicts = append(verdicts, r.Grants(0, tt.from, tt.clock, g)...)
			}
			if d := cmp.Diff(tt.want, reasons(verdicts)); d != "" {
				t.Error(d)
			}
			if d := cmp.Diff(tt.unused, r.Unused); d != "" {
				t.Error(d)
			}
			for _, v := range verdicts {
				if left := time.Duration(life-tt.clock) * time.Millisecond; v.Expires != left || v.Term != 7 {
					t.Errorf("verdict %+v, want it to expire at %v in term 7", v, left)
				}
			}
		})
	}
}

func TestRetriesAreServedFirst(t *testing.T) {
	r := newRoom(Settings{})
	r.Enqueue(0, request("a", "joiners"))
	again := request("b", "joiners")
	again.Retry = true
	r.Enqueue(0, again)
	if d := cmp.Diff([]string{"b granted"}, reasons(r.Grants(0, scheduler, 0, grant(1, "joiners")))); d != "" {
		t.Error(d)
	}
}

func TestGrantAfterDeadlineIsReturned(t *testing.T) {
	r := newRoom(Settings{})
	late := request("a", "joiners")
	late.Deadline = time.Millisecond
	r.Enqueue(0, late)
	if d := cmp.Diff([]string{"a deadlinePassed"}, reasons(r.Grants(time.Second, scheduler, 0, grant(1, "joiners")))); d != "" {
		t.Error(d)
	}
	if r.Unused.Unwanted != 1 {
		t.Errorf("unused grants %+v, want one unwanted", r.Unused)
	}
}

func TestDemands(t *testing.T) {
	waiting := func(n int) []fleet.TeamDemand {
		return []fleet.TeamDemand{{Team: "joiners", Waiting: n, Estimate: 10}}
	}
	tests := map[string]struct {
		steps func(r *Room) time.Duration // returns the time at which Demands is called
		want  []Outgoing
	}{
		"nothing changed": {steps: func(*Room) time.Duration { return time.Hour }},
		"two arrivals in one": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Enqueue(0, request("b", "joiners"))
				return 0
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{Cell: testCell, Seq: 2, Waiting: waiting(2)}}},
		},
		"left before it was reported": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Cancel(0, "a")
				return 0
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{Cell: testCell, Seq: 2}}},
		},
		"left after it was reported": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Demands(0)
				r.Cancel(0, "a")
				return 0
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 3, Waiting: []fleet.TeamDemand{{Team: "joiners"}},
			}}},
		},
		"an acknowledgement is delayed": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Demands(0)
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				return DefaultAckDelay - 1
			},
		},
		"an acknowledgement is sent after its delay": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Demands(0)
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				return DefaultAckDelay
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 3, SeenTerm: 7, Seen: 1, Waiting: []fleet.TeamDemand{{Team: "joiners"}},
			}}},
		},
		"unwanted grant is returned": {
			steps: func(r *Room) time.Duration {
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				return 0
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 2, SeenTerm: 7, Seen: 1,
				Done: []fleet.Done{{Grant: 1, Outcome: fleet.OutcomeReturned}},
			}}},
		},
		"a new link gets a full demand": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Enqueue(0, request("b", "joiners"))
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				r.Progress(0, testCell, 1, 5)
				r.Demands(0)
				r.Reconnected(0, scheduler)
				return 0
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 3, Full: true, SeenTerm: 7, Seen: 1, Waiting: waiting(1),
				Running: []fleet.Running{{Grant: 1, Team: "joiners", Server: "stain-1", Cost: 5}},
			}}},
		},
		"a new scheduler gets the grants that run under the old one": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				r.Grants(0, scheduler, 0, grant(2, "joiners"))
				r.Follow(0, testCell, "router-3")
				return 0
			},
			want: []Outgoing{{To: "router-3", Demand: fleet.Demand{
				Cell: testCell, Seq: 2, Full: true,
				Running: []fleet.Running{{Grant: 1, Team: "joiners", Server: "stain-1"}},
			}}},
		},
		"no scheduler": {
			steps: func(r *Room) time.Duration {
				r.Follow(0, testCell, "")
				r.Enqueue(0, request("a", "joiners"))
				return time.Hour
			},
		},
		"costs so far": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				r.Demands(0)
				r.Progress(time.Second, testCell, 1, 5)
				r.Progress(time.Second, testCell, 1, 9)
				return time.Second
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 3, SeenTerm: 7, Seen: 1,
				Running: []fleet.Running{{Grant: 1, Cost: 9}},
			}}},
		},
		"a cost that has not doubled": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				r.Progress(0, testCell, 1, 5)
				r.Demands(time.Second)
				r.Progress(2*time.Second, testCell, 1, 9)
				return 2 * time.Second
			},
		},
		"a cost that has doubled": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				r.Progress(0, testCell, 1, 5)
				r.Demands(time.Second)
				r.Progress(2*time.Second, testCell, 1, 10)
				return 2 * time.Second
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 3, SeenTerm: 7, Seen: 1, Running: []fleet.Running{{Grant: 1, Cost: 10}},
			}}},
		},
		"a cost that was last reported long ago": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				r.Progress(0, testCell, 1, 5)
				r.Demands(time.Second)
				r.Progress(time.Second+maxReportInterval, testCell, 1, 6)
				return time.Second + maxReportInterval
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 3, SeenTerm: 7, Seen: 1, Running: []fleet.Running{{Grant: 1, Cost: 6}},
			}}},
		},
		"the end of a grant is reported once": {
			steps: func(r *Room) time.Duration {
				r.Enqueue(0, request("a", "joiners"))
				r.Grants(0, scheduler, 0, grant(1, "joiners"))
				r.Demands(0)
				for range 2 {
					r.Finish(0, testCell, fleet.Done{Grant: 1, Outcome: fleet.OutcomeCompleted, Cost: 12})
				}
				return 0
			},
			want: []Outgoing{{To: scheduler, Demand: fleet.Demand{
				Cell: testCell, Seq: 3, SeenTerm: 7, Seen: 1,
				Done: []fleet.Done{{Grant: 1, Outcome: fleet.OutcomeCompleted, Cost: 12}},
			}}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRoom(Settings{})
			if d := cmp.Diff(tt.want, r.Demands(tt.steps(r))); d != "" {
				t.Error(d)
			}
		})
	}
}

// TestLimitsAreKept sends learnt limits to a router and checks those in its next full demand.
func TestLimitsAreKept(t *testing.T) {
	serverLimit := func(server string, limit int) fleet.ServerLimit {
		return fleet.ServerLimit{Server: server, Epoch: 5, Limit: limit}
	}
	change := func(since uint64) fleet.Limits {
		return fleet.Limits{Term: 7, Since: since, Version: since + 1, Servers: []fleet.ServerLimit{serverLimit("stain-2", 4), serverLimit("stain-3", 2)}}
	}
	complete := fleet.Limits{Term: 7, Version: 2, Servers: []fleet.ServerLimit{serverLimit("stain-1", 8), serverLimit("stain-3", 8)}}
	tests := map[string]struct {
		updates []fleet.Limits
		term    uint64 // of the last grants; 0 for the term of the updates
		want    []fleet.ServerLimit
	}{
		"nothing":                    {},
		"all":                        {updates: []fleet.Limits{complete}, want: complete.Servers},
		"a changed and a new server": {updates: []fleet.Limits{complete, change(2)}, want: []fleet.ServerLimit{serverLimit("stain-1", 8), serverLimit("stain-2", 4), serverLimit("stain-3", 2)}},
		"after a lost change":        {updates: []fleet.Limits{complete, change(3)}, want: complete.Servers},
		"of an earlier term":         {updates: []fleet.Limits{complete}, term: 8},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := newRoom(Settings{})
			for _, l := range tt.updates {
				l.Servers = slices.Clone(l.Servers)
				r.Grants(0, scheduler, 0, fleet.Grants{Cell: testCell, Term: l.Term, Limits: &l})
			}
			if tt.term != 0 {
				r.Grants(0, scheduler, 0, fleet.Grants{Cell: testCell, Term: tt.term})
			}
			r.Reconnected(0, scheduler)
			var got []fleet.ServerLimit
			if kept := r.Demands(0)[0].Demand.Limits; kept != nil {
				got = kept.Servers
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Error(d)
			}
		})
	}
}

func TestExpireRefusesAtOnce(t *testing.T) {
	r := newRoom(Settings{})
	early := request("b", "joiners")
	early.Deadline = time.Second
	r.Enqueue(0, request("a", "joiners"))
	r.Enqueue(0, early)
	if at, ok := r.NextWake(); !ok || at != 0 {
		t.Errorf("wake at %v, %v, want 0 for the demand", at, ok)
	}
	r.Demands(0)
	if at, ok := r.NextWake(); !ok || at != time.Second {
		t.Errorf("wake at %v, %v, want the first deadline", at, ok)
	}
	if got := r.Expire(time.Second - 1); len(got) > 0 {
		t.Errorf("rejected before the deadline: %v", got)
	}
	if d := cmp.Diff([]string{"b deadlinePassed"}, reasons(r.Expire(time.Second))); d != "" {
		t.Error(d)
	}
	r.Served = func(string) bool { return false }
	if d := cmp.Diff([]string{"a noServer"}, reasons(r.Expire(time.Second))); d != "" {
		t.Error(d)
	}
}

func TestStatus(t *testing.T) {
	r := newRoom(Settings{})
	r.Enqueue(time.Second, request("a", "turners"))
	r.Enqueue(time.Second, request("b", "joiners"))
	r.Grants(time.Second, scheduler, 0, grant(1, "turners"))
	want := []report.Room{
		{Team: "joiners", Product: testProduct, Waiting: 1, OldestWaitMillis: 1000, Scheduler: scheduler, Why: fleet.ReasonHeld},
		{Team: "turners", Product: testProduct, Running: 1, Scheduler: scheduler},
	}
	if d := cmp.Diff(want, r.Status(2*time.Second)); d != "" {
		t.Error(d)
	}
}
