package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/conf"
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/node"
	"mangolug.org/core/trace"
)

const (
	// inboxLength is how many inputs may wait for the loop.
	inboxLength = 4096
	// batchLimit is how many waiting inputs are handled in one step.
	batchLimit = 256
	// minStepInterval is the shortest time between two steps without an input.
	minStepInterval = time.Millisecond
)

// Loop owns the control state. Set the exported fields, call Init and then Run.
type Loop struct {
	Start node.Start
	Began time.Time // start of the monotonic clock

	Send      func(peer string, m *fleet.Message)                                   // queues a message for a peer
	SetPeers  func(addresses map[string]string)                                     // opens links to the listed peers
	FetchLoad func(ctx context.Context, server, address string) (fleet.Load, error) // requests the load of a backend server
	Trace     *trace.Writer                                                         // nil records nothing
	Log       *log.Logger                                                           // nil logs nothing
	Metrics   metrics.Registry                                                      // nil uses the default registry

	inbox          chan input
	ended          chan struct{} // closed when Run has returned
	lastKeyRequest atomic.Uint64

	state       node.Node
	events      []node.Event
	admissions  map[string]chan entry.Verdict   // waiting for a verdict, by request ID
	keyRequests map[uint64]chan fleet.KeyAnswer // waiting for an answer, by KeyRequest.ID
	polls       map[fleet.Cell]context.CancelFunc

	current  atomic.Pointer[conf.InForce]
	notReady atomic.Int32 // a fleet.Reason
	draining atomic.Bool
	reader   atomic.Bool
	urgent   atomic.Bool
	size     atomic.Int64
	newest   atomic.Uint64
}

// Init prepares the loop to accept inputs.
func (l *Loop) Init() {
	l.inbox = make(chan input, inboxLength)
	l.ended = make(chan struct{})
	l.admissions = map[string]chan entry.Verdict{}
	l.keyRequests = map[uint64]chan fleet.KeyAnswer{}
	l.polls = map[fleet.Cell]context.CancelFunc{}
	l.notReady.Store(int32(fleet.ReasonNotReady))
	l.state.Start = l.Start
	l.state.Count = func(name string) { l.counter(name).Inc(1) }
}

// Now returns the time since the process began.
func (l *Loop) Now() time.Duration { return time.Since(l.Began) }

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	if l.Trace != nil {
		if err := l.Trace.Begin(trace.Header{Start: l.Start}); err != nil {
			return err
		}
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		var batch []input
		select {
		case <-ctx.Done():
			return nil
		case i := <-l.inbox:
			batch = l.gather(i)
		case <-timer.C:
		}
		l.step(ctx, batch)
		timer.Reset(max(l.state.UntilNextStep(), minStepInterval))
	}
}

// gather returns the first input and the others that wait in the inbox, up to batchLimit, so that one step
// handles all of them.
func (l *Loop) gather(first input) []input {
	batch := []input{first}
	for len(batch) < batchLimit {
		select {
		case i := <-l.inbox:
			batch = append(batch, i)
		default:
			return batch
		}
	}
	return batch
}

// step passes a batch of events to the control state and carries out the effects.
func (l *Loop) step(ctx context.Context, batch []input) {
	l.events = l.events[:0]
	for i := range batch {
		if batch[i].query == nil {
			l.register(&batch[i])
			l.events = append(l.events, batch[i].event)
		}
	}
	now, wall := l.Now(), time.Now()
	effects := l.state.Step(now, wall, l.events)
	l.record(now, wall, effects)
	for i := range effects {
		l.apply(ctx, &effects[i])
	}
	l.publish()
	for i := range batch {
		l.complete(&batch[i])
	}
}

func (l *Loop) record(now time.Duration, wall time.Time, effects []node.Effect) {
	if l.Trace == nil {
		return
	}
	err := l.Trace.Add(&trace.Step{Now: now, Wall: wall.UnixNano(), Events: l.events, Effects: effects})
	if err != nil {
		l.Trace = nil
		if l.Log != nil {
			l.Log.Warn("trace ended", "error", err)
		}
	}
}

// publish updates the values that other goroutines read without a query.
func (l *Loop) publish() {
	l.current.Store(l.state.InForce())
	l.notReady.Store(int32(l.state.NotReadyReason()))
	l.reader.Store(l.state.ReadsPlatform())
	l.urgent.Store(l.state.NeedsVMListNow())
	l.size.Store(int64(l.state.FleetSize()))
	l.newest.Store(l.state.NewestVersion())
}

// post queues an input. It returns false if the loop has ended.
func (l *Loop) post(i input) bool {
	select {
	case l.inbox <- i:
		return true
	case <-l.ended:
		return false
	}
}

func (l *Loop) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, l.Metrics)
}

// errEnded is returned for queries after the loop has ended.
var errEnded = errors.New("the control loop has ended")
