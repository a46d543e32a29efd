package resume

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"mangolug.org/core/digest"
)

// network delivers messages between registers at once; those of routers that ended are lost.
type network struct {
	mutex   sync.Mutex
	routers map[string]*Register
	known   []string // all routers that were ever started
	lose    int      // number of messages that are lost next
	sent    int
}

func newNetwork(routers int) *network {
	n := &network{routers: make(map[string]*Register)}
	for i := range routers {
		n.start(fmt.Sprintf("10.0.0.%d:7", i+1))
	}
	return n
}

// start starts a router anew, without what it knew.
func (n *network) start(name string) *Register {
	r := &Register{
		Clock:   func() time.Duration { return time.Minute },
		Routers: func() []string { return n.others(name) },
		Send:    func(to string, m digest.Streams) { n.deliver(name, to, m) },
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.routers[name] = r
	if !slices.Contains(n.known, name) {
		n.known = append(n.known, name)
	}
	return r
}

func (n *network) others(name string) []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var list []string
	for other := range n.routers {
		if other != name {
			list = append(list, other)
		}
	}
	return list
}

func (n *network) deliver(from, to string, m digest.Streams) {
	n.mutex.Lock()
	n.sent++
	lost := n.lose > 0
	if lost {
		n.lose--
	}
	r := n.routers[to]
	n.mutex.Unlock()
	if r != nil && !lost {
		r.Receive(from, m)
	}
}

func (n *network) router(i int) *Register { return n.routers[fmt.Sprintf("10.0.0.%d:7", i+1)] }

// asked returns a router other than the fourth that is asked for a stream but is not told of it.
func (n *network) asked(t *testing.T, attempt uint64) *Register {
	t.Helper()
	list := holders(attempt, n.others("10.0.0.4:7"), askedHolders)
	return n.routers[list[copies]]
}

// loseAll loses all further messages.
func (n *network) loseAll() { n.lose = 1000 }

// ask asks a router for a stream and returns its version, or 0 if it is not known.
func (n *network) ask(t *testing.T, router int, attempt uint64) uint32 {
	t.Helper()
	version, err := n.router(router).Version(context.Background(), digest.StreamQuestion{Attempt: attempt, Service: 1, Window: time.Minute})
	var unknown *UnknownError
	if err != nil && !errors.As(err, &unknown) {
		t.Errorf("error %v", err)
	}
	return version.Version // 0 if it is not known
}

// TestVersionIsKnownAtOtherRouters guards against a caller whose stream can't go on since the router to which it comes back did not begin it (LOST).
func TestVersionIsKnownAtOtherRouters(t *testing.T) {
	for name, d := range map[string]struct {
		routers int
		change  func(n *network)
		tell    bool
		want    uint32
	}{
		"nine routers":                   {routers: 9, tell: true, want: 5},
		"295 routers":                    {routers: 295, tell: true, want: 5},
		"two routers":                    {routers: 2, tell: true, want: 5},
		"its own router ended":           {routers: 9, tell: true, want: 5, change: func(n *network) { n.start("10.0.0.1:7") }},
		"its own router is out of sight": {routers: 9, tell: true, want: 5, change: func(n *network) { delete(n.routers, "10.0.0.1:7") }},
		"some messages are lost":         {routers: 9, tell: true, want: 5, change: func(n *network) { n.lose = 4 }},
		"told when a second version came": {routers: 9, want: 5, change: func(n *network) {
			n.router(0).TellAll()
			n.start("10.0.0.1:7")
		}},
		"a router that knows a sole version": {routers: 9, want: 7, change: func(n *network) {
			n.start("10.0.0.1:7")
			for i := range 9 {
				n.router(i).Versions = versions(digest.VersionsOne, 7)
			}
		}},
		"all routers were restarted": {routers: 9, tell: true, want: 0, change: func(n *network) {
			for i := range 9 {
				n.start(fmt.Sprintf("10.0.0.%d:7", i+1))
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(d.routers)
			attempt := AttemptID("team", "attempt-1")
			n.router(0).Began(digest.StreamVersion{Attempt: attempt, Version: 5}, time.Minute, d.tell)
			if d.change != nil {
				d.change(n)
			}
			for _, router := range []int{1, d.routers - 1} {
				if got := n.ask(t, router, attempt); got != d.want {
					t.Errorf("router %d knows version %d, want %d", router, got, d.want)
				}
			}
			if got := n.ask(t, 1, AttemptID("other team", "attempt-1")); got != 0 && d.want != 7 {
				t.Errorf("another team's stream has version %d", got)
			}
		})
	}
}

// versions returns a router's knowledge of a service's versions.
func versions(count digest.VersionCount, sole uint32) func(uint32, time.Duration) digest.Versions {
	return func(uint32, time.Duration) digest.Versions { return digest.Versions{Count: count, Sole: sole} }
}

// TestOldKnowledgeOfOneVersion guards against a stream that goes on at another version since a router took the only one that it knew for the one at which
// the stream began, though it was frozen or cut off when others learned of a second one (ORDER); and against one that is refused though nobody
// knows of a second one (LOST).
func TestOldKnowledgeOfOneVersion(t *testing.T) {
	one, two, none := versions(digest.VersionsOne, 5), versions(digest.VersionsSeveral, 0), versions(digest.VersionsUnknown, 0)
	const refused = 0
	for name, d := range map[string]struct {
		others  func(uint32, time.Duration) digest.Versions
		change  func(n *network)
		refresh func(asker *Register) bool // nil if the platform is not read
		want    uint32
	}{
		"others recorded the stream": {others: two, want: 6, change: func(n *network) {
			n.router(7).Began(digest.StreamVersion{Attempt: 99, Version: 6}, time.Minute, true)
		}},
		"others know several":           {others: two, want: refused},
		"one other knows several":       {others: one, want: refused, change: func(n *network) { n.asked(t, 99).Versions = two }},
		"others know one, another one":  {others: versions(digest.VersionsOne, 6), want: refused},
		"others know the same one":      {others: one, want: 5},
		"others have just started":      {others: none, want: 5},
		"others are silent":             {others: two, want: refused, change: (*network).loseAll, refresh: func(*Register) bool { return false }},
		"silent, and there is only one": {others: one, want: 5, change: (*network).loseAll, refresh: func(*Register) bool { return true }},
		"silent, and there are several": {others: two, want: refused, change: (*network).loseAll, refresh: func(r *Register) bool {
			r.Versions = two
			return true
		}},
		"alone, and there are several": {others: two, want: refused, refresh: func(r *Register) bool {
			r.Versions = two
			return true
		}, change: func(n *network) { n.router(3).Routers = func() []string { return nil } }},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(9)
			for i := range 9 {
				n.router(i).Versions = d.others
			}
			asker := n.router(3)
			asker.Versions = one
			if d.refresh != nil {
				asker.Refresh = func(context.Context) bool { return d.refresh(asker) }
			}
			if d.change != nil {
				d.change(n)
			}
			if got := n.ask(t, 3, 99); got != d.want {
				t.Errorf("version %d, want %d", got, d.want)
			}
			if _, known := asker.records.version(time.Minute, 99); known && d.want != 6 {
				t.Error("a version that nobody recorded is recorded")
			}
		})
	}
}

// TestStreamOfARouterThatEndedBeforeARelease guards against streams that nobody knows, since their router ended before it saw the version that made all others
// tell theirs (LOST), and against one that is taken for a stream of the earlier version though a record of it may be lost (ORDER).
func TestStreamOfARouterThatEndedBeforeARelease(t *testing.T) {
	const attempt, earlier, later = 99, 5, 6
	const refused = 0
	knows := func(v digest.Versions) func(uint32, time.Duration) digest.Versions {
		return func(uint32, time.Duration) digest.Versions { return v }
	}
	mixed := knows(digest.Versions{Count: digest.VersionsSeveral, Earlier: earlier})
	holder := func(n *network, i int) *Register { return n.routers[holders(attempt, n.others(""), copies)[i]] }
	end := func(n *network, list ...int) {
		var names []string
		for _, i := range list {
			names = append(names, holders(attempt, n.known, copies)[i])
		}
		for _, name := range names {
			delete(n.routers, name)
		}
	}
	for name, d := range map[string]struct {
		change func(n *network)
		want   uint32
	}{
		"all others know the earlier version": {want: earlier},
		"two of its holders ended":            {want: earlier, change: func(n *network) { end(n, 0, 2) }},
		"all its holders ended":               {want: refused, change: func(n *network) { end(n, 0, 1, 2) }},
		"it began later, and two holders ended": {want: later, change: func(n *network) {
			holder(n, 0).records.add(0, digest.StreamVersion{Attempt: attempt, Version: later}, time.Hour, true)
			end(n, 1, 2)
		}},
		"its holders were started later": {want: refused, change: func(n *network) {
			for i := range copies {
				holder(n, i).Versions = knows(digest.Versions{Count: digest.VersionsSeveral})
			}
		}},
		"a holder has seen nothing yet": {want: earlier, change: func(n *network) { holder(n, 0).Versions = versions(digest.VersionsOne, earlier) }},
		"a holder takes another version for the only one": {want: refused, change: func(n *network) {
			holder(n, 0).Versions = versions(digest.VersionsOne, later)
		}},
		"holders disagree": {want: refused, change: func(n *network) {
			holder(n, 0).Versions = knows(digest.Versions{Count: digest.VersionsSeveral, Earlier: later})
		}},
		"one that was asked is silent": {want: refused, change: func(n *network) {
			silent := holder(n, 1)
			silent.Versions = nil
			silent.Send = func(string, digest.Streams) {}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(9)
			delete(n.routers, "10.0.0.9:7") // the router of the stream
			for i := range 8 {
				r := n.router(i)
				r.Versions, r.Self = mixed, fmt.Sprintf("10.0.0.%d:7", i+1)
				r.Known = func(time.Duration) []string { return n.known }
			}
			if d.change != nil {
				d.change(n)
			}
			for i := range 8 {
				if r := n.router(i); r != nil && r.Send != nil && r.Versions != nil {
					if got := n.ask(t, i, attempt); got != d.want {
						t.Errorf("router %d knows version %d, want %d", i, got, d.want)
					}
				}
			}
		})
	}
}

// TestStreamsOfOneVersionAreTold guards against a stream that nobody knows, though the service had one version all the time, since the router that began it
// is gone and the others have just started (LOST).
func TestStreamsOfOneVersionAreTold(t *testing.T) {
	stream := digest.StreamVersion{Attempt: AttemptID("team", "attempt-1"), Version: 5}
	begin := func(n *network) { n.router(0).Began(stream, time.Minute, false) }
	restartOthers := func(n *network) (started []string) {
		for name := range n.routers {
			if name != "10.0.0.1:7" {
				n.start(name)
				started = append(started, name)
			}
		}
		return started
	}
	for name, d := range map[string]struct {
		play func(n *network)
		want uint32
	}{
		"no router has started": {play: begin, want: 0},
		"others have started": {want: 5, play: func(n *network) {
			started := restartOthers(n)
			n.router(0).Recent = func(time.Duration) []string { return started }
			begin(n)
		}},
		"others start later": {want: 5, play: func(n *network) {
			begin(n)
			n.router(0).TellStarted(restartOthers(n))
		}},
		"one that is not told starts": {want: 0, play: func(n *network) {
			begin(n)
			list := holders(stream.Attempt, n.others("10.0.0.1:7"), askedHolders)
			n.router(0).TellStarted(list[copies:])
		}},
		"the router stops": {want: 5, play: func(n *network) {
			begin(n)
			restartOthers(n)
			n.router(0).TellOwn()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			n := newNetwork(9)
			d.play(n)
			delete(n.routers, "10.0.0.1:7")
			for _, router := range []int{1, 8} {
				if got := n.ask(t, router, stream.Attempt); got != d.want {
					t.Errorf("router %d knows version %d, want %d", router, got, d.want)
				}
			}
		})
	}
}

// TestStreamsOfOthersAreNotPassedOn guards against routers that each tell all what they were told when one of them starts or stops.
func TestStreamsOfOthersAreNotPassedOn(t *testing.T) {
	n := newNetwork(9)
	for i := range 50 {
		n.router(0).Began(digest.StreamVersion{Attempt: AttemptID("team", fmt.Sprint(i)), Version: 5}, time.Minute, true)
	}
	n.sent = 0
	for i := 1; i < 9; i++ {
		n.router(i).TellOwn()
		n.router(i).TellStarted(n.others(""))
	}
	if n.sent > 0 {
		t.Errorf("%d messages with other routers' streams", n.sent)
	}
}

// TestReportedStreams guards against a stream that a server reported, without its caller, and that is found for no caller or at no other router.
func TestReportedStreams(t *testing.T) {
	n := newNetwork(9)
	n.router(2).Began(digest.StreamVersion{Attempt: ReportedID("attempt-1"), Version: 6}, time.Minute, false)
	n.router(2).TellAll()
	for i := range 9 {
		if got := n.ask(t, i, AttemptID("team", "attempt-1")); got != 6 {
			t.Errorf("router %d knows version %d, want 6", i, got)
		}
		if got := n.ask(t, i, AttemptID("team", "attempt-2")); got != 0 {
			t.Errorf("router %d knows version %d of another attempt", i, got)
		}
	}
}

// TestPartOfTheRoutersEnds guards against streams that can't go on since a third of all routers ended at once.
func TestPartOfTheRoutersEnds(t *testing.T) {
	n := newNetwork(9)
	const streams = 300
	for i := range streams {
		n.router(i%9).Began(digest.StreamVersion{Attempt: AttemptID("team", fmt.Sprint(i)), Version: 5}, time.Minute, true)
	}
	for _, i := range []int{1, 4, 7} {
		n.start(fmt.Sprintf("10.0.0.%d:7", i+1))
	}
	known := 0
	for i := range streams {
		if n.ask(t, (i*5+3)%9, AttemptID("team", fmt.Sprint(i))) == 5 {
			known++
		}
	}
	if known < streams*9/10 {
		t.Errorf("%d of %d streams are known, want nine tenths at least", known, streams)
	}
}

// TestUnknownStreamIsAnsweredAtOnce guards against callers that wait for the whole timeout though every router said that it doesn't know their stream.
func TestUnknownStreamIsAnsweredAtOnce(t *testing.T) {
	n := newNetwork(9)
	began := time.Now()
	if got := n.ask(t, 3, 99); got != 0 {
		t.Errorf("version %d", got)
	}
	if took := time.Since(began); took > askTimeout/2 {
		t.Errorf("took %v", took)
	}
	if n.sent > 2*askedHolders {
		t.Errorf("%d messages for one question", n.sent)
	}
	if len(n.router(3).asking) > 0 {
		t.Error("the question is kept")
	}
}

// TestSilentRouters guards against a caller that waits for routers that don't answer.
func TestSilentRouters(t *testing.T) {
	n := newNetwork(9)
	n.lose = 1000
	began := time.Now()
	if got := n.ask(t, 3, 99); got != 0 {
		t.Errorf("version %d", got)
	}
	if took := time.Since(began); took < askTimeout || took > 5*askTimeout {
		t.Errorf("took %v, want about %v", took, askTimeout)
	}
}

// TestRecordsAreBounded guards against memory that grows with the streams that callers begin, and against records that outlive their streams.
func TestRecordsAreBounded(t *testing.T) {
	var r records
	for i := range uint64(3 * maxRecords) {
		r.add(time.Duration(i), digest.StreamVersion{Attempt: i, Version: 1}, time.Minute, false)
		if len(r.byAttempt) > maxRecords {
			t.Fatalf("%d records", len(r.byAttempt))
		}
	}
	last := uint64(3*maxRecords - 1)
	if _, ok := r.version(time.Second, last); !ok {
		t.Error("the newest is not known")
	}
	if _, ok := r.version(2*time.Minute, last); ok {
		t.Error("a record outlives its stream")
	}
}
