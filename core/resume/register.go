package resume

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"mangolug.org/core/digest"
)

const (
	// copies is the number of other routers that are told of a stream. With three, a stream is lost with all of them and its own router in one of
	// 80 cases if a third of all routers end at once.
	copies = 3
	// askedHolders is the number of routers that are asked for a stream: more than were told, as routers that ended meanwhile, or came back, shift
	// the order.
	askedHolders = 5
	// askTimeout bounds the wait for answers, and askAgain is when those that did not answer are asked once more, as datagrams may be lost.
	askTimeout, askAgain = 200 * time.Millisecond, 70 * time.Millisecond
	// refreshTimeout bounds the wait for a read of the platform: a call that waits there for changes ends first.
	refreshTimeout = time.Second
	// maxTold bounds the streams in one message: 12 bytes each.
	maxTold = 80
	// toldTTL is how long a router keeps what another one told it, which doesn't say how long the stream may live.
	toldTTL = 2 * time.Minute
)

// Register is a router's knowledge of the software versions at which streams began. Clock must be set.
type Register struct {
	Clock   func() time.Duration
	Routers func() []string                   // returns the addresses of the other live routers; nil means that there are none
	Send    func(to string, m digest.Streams) // sends a message that may be lost; must be set if Routers is
	// Versions returns what is known of the versions that a service has had within a window; nil means that nothing is.
	Versions func(service uint32, window time.Duration) digest.Versions
	// Self is this router's name among Known, which returns the other routers that have been live within a window, also those that ended. Both must be
	// set if Versions returns earlier versions.
	Self  string
	Known func(window time.Duration) []string
	// Recent returns those of the other live routers that started within a window, so that they don't know all versions of a service; nil means that
	// there are none.
	Recent func(window time.Duration) []string
	// Refresh waits until this router has read the platform by a call that begins after now, and reports whether it has; nil means that it can't.
	Refresh func(ctx context.Context) bool

	mutex   sync.Mutex
	records records
	asking  map[uint64][]*question
}

// question is a wait for answers of other routers.
type question struct {
	asked    int
	waits    map[string]bool // routers that have not answered
	recorded chan uint32     // the version, from a router that recorded it
	answered chan struct{}   // closed when all routers that were asked have answered
	sole     []uint32        // the service's only version, by each router that knows it
	several  bool            // a router knows several versions
	earlier  []uint32        // the service's earlier version, by each router that would have recorded a stream of another one
}

// Began records the version at which a stream began, for some time. With tell, other routers keep it as well, in case this one ends; without, only those
// do that have started within that time.
func (r *Register) Began(s digest.StreamVersion, keep time.Duration, tell bool) {
	r.mutex.Lock()
	r.records.add(r.Clock(), s, keep, false)
	r.mutex.Unlock()
	if tell {
		r.tell([]digest.StreamVersion{s}, nil)
		return
	}
	if r.Recent != nil {
		if recent := r.Recent(keep); len(recent) > 0 {
			r.tell([]digest.StreamVersion{s}, recent)
		}
	}
}

// TellAll tells other routers of all streams that this one remembers. It is called when a service has a second version, and once the router knows the
// others.
func (r *Register) TellAll() {
	r.mutex.Lock()
	list := r.records.all(r.Clock(), false)
	r.mutex.Unlock()
	r.tell(list, nil)
}

// TellOwn tells other routers of the streams that this one began: before it ends, and once it no longer knows all versions of a service.
func (r *Register) TellOwn() { r.tellOwn(nil) }

// TellStarted tells routers that have just started of the streams that this one began and that they would have been told of.
func (r *Register) TellStarted(started []string) { r.tellOwn(started) }

func (r *Register) tellOwn(only []string) {
	r.mutex.Lock()
	list := r.records.all(r.Clock(), true)
	r.mutex.Unlock()
	r.tell(list, only)
}

// tell sends each stream to its holders, or to some of them.
func (r *Register) tell(list []digest.StreamVersion, only []string) {
	if r.Routers == nil || len(list) == 0 {
		return
	}
	routers := r.Routers()
	told := make(map[string][]digest.StreamVersion)
	for _, s := range list {
		for _, to := range holders(s.Attempt, routers, copies) {
			if only == nil || slices.Contains(only, to) {
				told[to] = append(told[to], s)
			}
		}
	}
	for to, streams := range told {
		for len(streams) > 0 {
			n := min(len(streams), maxTold)
			r.Send(to, digest.Streams{Told: streams[:n]})
			streams = streams[n:]
		}
	}
}

// UnknownError reports that no router is known to know at which version a stream began.
type UnknownError struct {
	Asked  int // number of routers that were asked
	Silent int // number of those that did not answer
}

// Error returns the numbers of routers.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("of %d routers asked for the version of the stream %d do not know it and %d did not answer", e.Asked, e.Asked-e.Silent, e.Silent)
}

// Version returns the version at which a stream began. A router that recorded it decides. Otherwise it is the only version that the service has had:
// what this router knows of that may be old, for example after a freeze, so that at least one other router must have answered since the question
// came, and none of them may know another version. Where none answers, this router reads the platform anew. If others have joined that version, a stream
// of which nobody has a record began before, at a router that ended before it could tell; all routers that are asked must have answered then. The error
// is an *UnknownError.
func (r *Register) Version(ctx context.Context, q digest.StreamQuestion) (digest.StreamVersion, error) {
	r.mutex.Lock()
	version, ok := r.records.version(r.Clock(), q.Attempt)
	r.mutex.Unlock()
	if ok {
		return digest.StreamVersion{Attempt: q.Attempt, Version: version}, nil
	}
	var asked []string
	if r.Routers != nil {
		asked = holders(q.Attempt, r.Routers(), askedHolders)
	}
	if len(asked) == 0 {
		return r.refreshed(ctx, q, &UnknownError{})
	}
	w := &question{asked: len(asked), waits: make(map[string]bool), recorded: make(chan uint32, 1), answered: make(chan struct{})}
	for _, to := range asked {
		w.waits[to] = true
	}
	r.await(q.Attempt, w)
	defer r.forget(q.Attempt, w)
	timeout, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	again := time.NewTimer(askAgain)
	defer again.Stop()
	r.ask(q, asked)
	for {
		select {
		case version := <-w.recorded:
			return digest.StreamVersion{Attempt: q.Attempt, Version: version}, nil
		case <-w.answered:
			return r.conclude(q, w, true)
		case <-again.C:
			silent := r.silent(w)
			if s, err := r.conclude(q, w, false); err == nil && 2*len(silent) <= len(asked) {
				return s, nil
			}
			r.ask(q, silent)
		case <-timeout.Done():
			if silent := len(r.silent(w)); silent == len(asked) {
				return r.refreshed(ctx, q, &UnknownError{Asked: len(asked), Silent: silent})
			}
			return r.conclude(q, w, false)
		}
	}
}

// conclude returns the version at which a stream began that none of the routers that answered has recorded, given whether all of them have.
func (r *Register) conclude(q digest.StreamQuestion, w *question, all bool) (digest.StreamVersion, error) {
	own := r.versions(q)
	earlier := r.earlier(q, own)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	select {
	case version := <-w.recorded:
		return digest.StreamVersion{Attempt: q.Attempt, Version: version}, nil
	default:
	}
	sole, before := slices.Clone(w.sole), slices.Clone(w.earlier)
	if own.Count == digest.VersionsOne {
		sole = append(sole, own.Sole)
	}
	if earlier != 0 {
		before = append(before, earlier)
	}
	several := w.several || own.Count == digest.VersionsSeveral
	version, agreed := agreed(append(sole, before...))
	if !agreed || several && (len(before) == 0 || !all) {
		return digest.StreamVersion{}, &UnknownError{Asked: w.asked, Silent: len(w.waits)}
	}
	return digest.StreamVersion{Attempt: q.Attempt, Version: version, Sole: !several, Earlier: several}, nil
}

// agreed returns the version that a list names, if it names one and no other.
func agreed(versions []uint32) (uint32, bool) {
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if len(versions) != 1 {
		return 0, false
	}
	return versions[0], true
}

// earlier returns the earlier version of a service if this router would have been told of a stream that began at another one, and 0 otherwise. Routers
// that ended count as well: those that are told of a stream are the first of the routers that lived then.
func (r *Register) earlier(q digest.StreamQuestion, own digest.Versions) uint32 {
	if own.Earlier == 0 || r.Known == nil || !slices.Contains(holders(q.Attempt, append(r.Known(q.Window), r.Self), copies), r.Self) {
		return 0
	}
	return own.Earlier
}

// refreshed returns the only version that the service has had, as of a read of the platform that begins now, or the given error.
func (r *Register) refreshed(ctx context.Context, q digest.StreamQuestion, unknown error) (digest.StreamVersion, error) {
	if r.versions(q).Count != digest.VersionsOne {
		return digest.StreamVersion{}, unknown
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	if r.Refresh != nil && !r.Refresh(ctx) {
		return digest.StreamVersion{}, unknown
	}
	known := r.versions(q)
	if known.Count != digest.VersionsOne {
		return digest.StreamVersion{}, unknown
	}
	return digest.StreamVersion{Attempt: q.Attempt, Version: known.Sole, Sole: true}, nil
}

func (r *Register) versions(q digest.StreamQuestion) digest.Versions {
	if r.Versions == nil {
		return digest.Versions{}
	}
	return r.Versions(q.Service, q.Window)
}

func (r *Register) ask(q digest.StreamQuestion, routers []string) {
	for _, to := range routers {
		r.Send(to, digest.Streams{Asked: []digest.StreamQuestion{q}})
	}
}

// silent returns the routers that have not answered a question.
func (r *Register) silent(w *question) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var list []string
	for name := range w.waits {
		list = append(list, name)
	}
	return list
}

func (r *Register) await(attempt uint64, w *question) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.asking == nil {
		r.asking = make(map[uint64][]*question)
	}
	r.asking[attempt] = append(r.asking[attempt], w)
}

func (r *Register) forget(attempt uint64, w *question) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var rest []*question
	for _, o := range r.asking[attempt] {
		if o != w {
			rest = append(rest, o)
		}
	}
	if r.asking[attempt] = rest; len(rest) == 0 {
		delete(r.asking, attempt)
	}
}

// Receive handles what another router tells or asks.
func (r *Register) Receive(from string, m digest.Streams) {
	r.mutex.Lock()
	now := r.Clock()
	for _, s := range m.Told {
		if !s.Sole {
			r.records.add(now, s, toldTTL, true)
		}
		for _, w := range r.asking[s.Attempt] {
			if s.Sole {
				w.sole = append(w.sole, s.Version)
				w.answeredBy(from)
				continue
			}
			select {
			case w.recorded <- s.Version:
			default: // another router has answered
			}
		}
	}
	for _, attempt := range m.Unknown {
		for _, w := range r.asking[attempt] {
			w.answeredBy(from)
		}
	}
	for _, s := range m.Several {
		for _, w := range r.asking[s.Attempt] {
			w.several = true
			if s.Earlier != 0 {
				w.earlier = append(w.earlier, s.Earlier)
			}
			w.answeredBy(from)
		}
	}
	r.mutex.Unlock()
	if answer := r.answer(m.Asked); len(answer.Told)+len(answer.Unknown)+len(answer.Several) > 0 {
		r.Send(from, answer)
	}
}

// answeredBy records that a router has answered.
func (w *question) answeredBy(router string) {
	if !w.waits[router] {
		return
	}
	if delete(w.waits, router); len(w.waits) == 0 {
		close(w.answered)
	}
}

// answer returns the answer to another router's questions.
func (r *Register) answer(asked []digest.StreamQuestion) digest.Streams {
	var m digest.Streams
	for _, q := range asked {
		r.mutex.Lock()
		version, ok := r.records.version(r.Clock(), q.Attempt)
		r.mutex.Unlock()
		if ok {
			m.Told = append(m.Told, digest.StreamVersion{Attempt: q.Attempt, Version: version})
			continue
		}
		switch known := r.versions(q); known.Count {
		case digest.VersionsOne:
			m.Told = append(m.Told, digest.StreamVersion{Attempt: q.Attempt, Version: known.Sole, Sole: true})
		case digest.VersionsSeveral:
			m.Several = append(m.Several, digest.SeveralVersions{Attempt: q.Attempt, Earlier: r.earlier(q, known)})
		default:
			m.Unknown = append(m.Unknown, q.Attempt)
		}
	}
	return m
}
