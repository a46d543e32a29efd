package loop

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/conf"
	"mangolug.org/core/entry"
	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
	"mangolug.org/core/member"
	"mangolug.org/core/sched"
	"mangolug.org/router/wire"
)

const (
	// inboxLength is how many events may wait for the loop.
	inboxLength = 4096
	// batchLimit is how many waiting events are taken before their effects are sent, in one go.
	batchLimit = 256
	// tickPeriod is the longest time between two passes.
	tickPeriod = 100 * time.Millisecond
	// passPause is the shortest time between two passes that no event asked for.
	passPause = time.Millisecond
)

// Loop owns the control state; set the exported fields, then call Run.
type Loop struct {
	Self        string
	DataCentre  string
	Admin       string // own admin address
	Incarnation uint32
	Began       time.Time // start of the monotonic clock
	Policy      sched.Policy
	Alone       bool // a baseline: this router schedules all that arrives here, without its peers
	Room        entry.Room

	Send     func(peer string, m *wire.Message) bool                               // queues a message for a peer
	SetPeers func(addresses map[string]string)                                     // opens links to the listed peers
	LoadOf   func(ctx context.Context, server, address string) (fleet.Load, error) // asks a backend server
	Log      *log.Logger                                                           // nil logs nothing
	Metrics  metrics.Registry                                                      // nil uses the default registry

	inbox   chan event
	ended   chan struct{} // closed when Run has returned
	current atomic.Pointer[conf.InForce]
	ready   atomic.Int32 // a fleet.Reason
	drain   atomic.Bool
	reader  atomic.Bool
	urgent  atomic.Bool
	newest  atomic.Uint64

	members   member.Members
	keeper    conf.Keeper
	home      keys.Home
	cells     map[fleet.Cell]*cell
	waiting   map[string]admission // by request
	opens     map[uint64]keyOpening
	opened    map[keyName]string // home that let a key run
	ticket    uint64
	listed    map[string]fleet.VM
	leaving   map[string]bool
	seen      map[string]uint32 // incarnation last heard of each peer
	settled   bool
	lastTick  time.Duration
	lastPass  time.Duration
	loopUntil context.Context
}

// cell is a cell that this router schedules or was asked to schedule.
type cell struct {
	scheduler *sched.Scheduler
	lenders   int
	listed    int
	asked     time.Duration // last demand or own holding
	stopPolls context.CancelFunc
	polled    map[string]string // servers polled, with address
}

// Init makes the zero parts ready; call it once before any other method.
func (l *Loop) Init() {
	l.inbox = make(chan event, inboxLength)
	l.ended = make(chan struct{})
	l.ready.Store(int32(fleet.ReasonNotReady))
	l.keeper.Self = l.Self
	l.members.Self, l.members.DataCentre, l.members.Incarnation = l.Self, l.DataCentre, uint64(l.Incarnation)
	l.Room.Self = l.Self
	l.cells = map[fleet.Cell]*cell{}
	l.waiting = map[string]admission{}
	l.opens = map[uint64]keyOpening{}
	l.opened = map[keyName]string{}
	l.listed = map[string]fleet.VM{}
	l.leaving = map[string]bool{}
	l.seen = map[string]uint32{}
}

// Now gives the time since the process began.
func (l *Loop) Now() time.Duration { return time.Since(l.Began) }

// Rules gives the configuration in force; nil before the first.
func (l *Loop) Rules() *conf.InForce { return l.current.Load() }

// Ready says why callers are not served now; ReasonNone when they are, also while the router drains.
func (l *Loop) Ready() fleet.Reason { return fleet.Reason(l.ready.Load()) }

// Draining says whether the router is stopping.
func (l *Loop) Draining() bool { return l.drain.Load() }

// Urgent says whether this router schedules a cell and so needs the list of VMs at once.
func (l *Loop) Urgent() bool { return l.urgent.Load() }

// Reader says whether this router is one of those that watch the platform.
func (l *Loop) Reader() bool { return l.reader.Load() }

// Drain makes this router give up its duties; it goes on serving what it has.
func (l *Loop) Drain() { l.drain.Store(true) }

// Run handles events until the context ends.
func (l *Loop) Run(ctx context.Context) error {
	defer close(l.ended)
	l.loopUntil = ctx
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case e := <-l.inbox:
			l.woke()
			l.handle(l.Now(), e)
			l.takeWaiting()
		case <-timer.C:
			l.woke()
		}
		now := l.Now()
		l.pass(now)
		timer.Reset(l.rest(now))
	}
}

// takeWaiting handles what else waits in the inbox, so that one pass sends the effects of all.
func (l *Loop) takeWaiting() {
	for range batchLimit {
		select {
		case e := <-l.inbox:
			l.handle(l.Now(), e)
		default:
			return
		}
	}
}

// pass runs what time has made due and sends what changed.
func (l *Loop) pass(now time.Duration) {
	if now-l.lastTick >= tickPeriod || l.lastTick == 0 {
		l.lastTick = now
		l.tick(now)
	}
	l.deliver(l.Room.Expire(now))
	l.beat(now)
	l.flush(now)
}

// tick does the periodic work that needs no exact time.
func (l *Loop) tick(now time.Duration) {
	if l.drain.Load() {
		l.members.Drain(now)
	}
	l.reader.Store(l.members.Reader(now))
	l.urgent.Store(l.schedules())
	l.settle(now)
	l.askConfig(now)
	l.holdKeys(now)
	l.expireOpens(now)
	l.dropIdleCells(now)
}

// rest gives the time until something is due.
func (l *Loop) rest(now time.Duration) time.Duration {
	next := now + tickPeriod
	if at, due := l.Room.Wake(); due {
		next = min(next, at)
	}
	for _, c := range l.cells {
		if at, due := c.scheduler.Wake(); due && c.lenders > 0 {
			next = min(next, at)
		}
	}
	return max(next-now, passPause)
}

// woke lets membership compare the wall clock with the monotonic one, and notes a pause.
func (l *Loop) woke() {
	now := l.Now()
	l.members.Wall(now, time.Duration(time.Now().UnixNano()))
	if now-l.lastPass > fleet.SilenceLimit && l.lastPass > 0 {
		l.counter("loop.pauses").Inc(1)
		l.members.Woke(now)
		if l.Log != nil {
			l.Log.Warn("woke late", "after", now-l.lastPass)
		}
	}
	l.lastPass = now
}

// post hands an event to the loop; it says false when the loop has ended.
func (l *Loop) post(e event) bool {
	select {
	case l.inbox <- e:
		return true
	case <-l.ended:
		return false
	}
}

func (l *Loop) counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, l.Metrics)
}
