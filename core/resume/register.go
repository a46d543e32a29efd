package resume

import (
	"context"
	"fmt"
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
	// maxTold bounds the streams in one message: 12 bytes each.
	maxTold = 80
	// toldTTL is how long a router keeps what another one told it, which doesn't say how long the stream may live.
	toldTTL = 2 * time.Minute
)

// Register is a router's knowledge of the software versions at which streams began. Clock must be set.
type Register struct {
	Clock   func() time.Duration
	Routers func() []string                                                      // returns the addresses of the other live routers; nil means that there are none
	Send    func(to string, m digest.Streams)                                    // sends a message that may be lost; must be set if Routers is
	Sole    func(service uint32, window time.Duration) (version uint32, ok bool) // returns the only version that a service had; nil means that none is known

	mutex   sync.Mutex
	records records
	asking  map[uint64][]*question
}

// question is a wait for answers of other routers.
type question struct {
	waits   map[string]bool // routers that have not answered
	answer  chan digest.StreamVersion
	unknown chan struct{} // closed when no router that was asked knows the stream
}

// Began records the version at which a stream began, for some time. With tell, other routers keep it as well, in case this one ends.
func (r *Register) Began(s digest.StreamVersion, keep time.Duration, tell bool) {
	r.mutex.Lock()
	r.records.add(r.Clock(), s, keep)
	r.mutex.Unlock()
	if tell {
		r.tell([]digest.StreamVersion{s})
	}
}

// TellAll tells other routers of all streams that this one remembers. It is called when a service has a second version, and once the router knows the
// others.
func (r *Register) TellAll() {
	r.mutex.Lock()
	list := r.records.all(r.Clock())
	r.mutex.Unlock()
	r.tell(list)
}

// tell sends each stream to its holders.
func (r *Register) tell(list []digest.StreamVersion) {
	if r.Routers == nil {
		return
	}
	routers := r.Routers()
	told := make(map[string][]digest.StreamVersion)
	for _, s := range list {
		for _, to := range holders(s.Attempt, routers, copies) {
			told[to] = append(told[to], s)
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

// Version returns the version at which a stream began, as far as this router or one of its holders knows it. It waits for their answers. The error
// is an *UnknownError.
func (r *Register) Version(ctx context.Context, q digest.StreamQuestion) (uint32, error) {
	r.mutex.Lock()
	version, ok := r.records.version(r.Clock(), q.Attempt)
	r.mutex.Unlock()
	if ok {
		return version, nil
	}
	if r.Routers == nil {
		return 0, &UnknownError{}
	}
	asked := holders(q.Attempt, r.Routers(), askedHolders)
	if len(asked) == 0 {
		return 0, &UnknownError{}
	}
	w := &question{waits: make(map[string]bool), answer: make(chan digest.StreamVersion, 1), unknown: make(chan struct{})}
	for _, to := range asked {
		w.waits[to] = true
	}
	r.await(q.Attempt, w)
	defer r.forget(q.Attempt, w)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	again := time.NewTimer(askAgain)
	defer again.Stop()
	r.ask(q, asked)
	for {
		select {
		case s := <-w.answer:
			return s.Version, nil
		case <-w.unknown:
			return 0, &UnknownError{Asked: len(asked)}
		case <-again.C:
			r.ask(q, r.silent(w))
		case <-ctx.Done():
			return 0, &UnknownError{Asked: len(asked), Silent: len(r.silent(w))}
		}
	}
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
		r.records.add(now, s, toldTTL)
		for _, w := range r.asking[s.Attempt] {
			select {
			case w.answer <- s:
			default: // another router has answered
			}
		}
	}
	for _, attempt := range m.Unknown {
		for _, w := range r.asking[attempt] {
			if w.waits[from] {
				if delete(w.waits, from); len(w.waits) == 0 {
					close(w.unknown)
				}
			}
		}
	}
	r.mutex.Unlock()
	if answer := r.answer(m.Asked); len(answer.Told)+len(answer.Unknown) > 0 {
		r.Send(from, answer)
	}
}

// answer returns the answer to another router's questions.
func (r *Register) answer(asked []digest.StreamQuestion) digest.Streams {
	var m digest.Streams
	for _, q := range asked {
		r.mutex.Lock()
		version, ok := r.records.version(r.Clock(), q.Attempt)
		r.mutex.Unlock()
		if !ok && r.Sole != nil {
			version, ok = r.Sole(q.Service, q.Window)
		}
		if ok {
			m.Told = append(m.Told, digest.StreamVersion{Attempt: q.Attempt, Version: version})
		} else {
			m.Unknown = append(m.Unknown, q.Attempt)
		}
	}
	return m
}
