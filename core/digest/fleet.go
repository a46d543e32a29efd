package digest

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// joinPeriod is the time between two gossip rounds while new members are being discovered.
	joinPeriod = 100 * time.Millisecond
	// minPeriod is the time between two sums in a small fleet.
	minPeriod = 50 * time.Millisecond
	// periodPerMember is added for each other live member of the own data centre, so that a relay's work stays bounded.
	periodPerMember = 2 * time.Millisecond
	// stalePeriods is the age, in periods, beyond which a sum is stale.
	stalePeriods = 5
	// answerPeriods is the timeout, in periods, for a router's first answer: its own period, and half as much again for each way.
	answerPeriods = 3
	// avoidTime is how long a router that did not answer is not tried as a relay again, so that routers do not switch to
	// a slow one and back repeatedly.
	avoidTime = 3 * time.Second
)

// Message is a message between routers.
type Message struct {
	From string
	// Position is the newest position of the platform's state that the sender knows to exist, even if it lacks the
	// changes up to it.
	Position Position
	Members  []Member    // gossip; nil if none
	Part     *Sum        // usage of a router and of those that report to it, sent to its relay; empty when a router only probes a candidate
	Centre   *Sum        // usage of a head and of all that report to it, sent to the heads of the other data centres
	Others   *Sum        // usage of all other routers, sent by a relay
	Leave    bool        // the sender no longer reports to the receiver, or is no longer the head of its data centre
	Suspects []Suspect   // news of prompt parts and requests that may crash servers
	Limits   []RateLimit // news of the servers' rate limits
	Streams  *Streams    // what is told or asked of callers' streams; nil for nothing
	Update   *Update     // update of the platform's state; nil if the sender does not know the state
	Want     *Want       // changes of the platform's state that the receiver is asked for; nil for none
}

// Outgoing is a message to be sent.
type Outgoing struct {
	To      string
	Message Message
}

// Fleet is one router's view of the others. The zero value is ready to use once Address and DataCentre are set.
type Fleet struct {
	Address    string // address of this router for datagrams, ip:port
	DataCentre string
	Seeds      []string // addresses of routers to contact first
	FirstBeat  uint64   // initial value of the heartbeat counter, higher with each start of the process
	Position   Position // newest position of the platform's state that this router knows to exist
	SourceLost bool     // this router can't read the platform, and asks others for changes that are too large for one message
	Random     *rand.Rand

	counter       uint64
	members       map[string]*member
	ended         map[string]time.Duration // routers that are no longer members, with the time at which they were last seen
	avoided       map[string]time.Duration // routers that did not answer, with the time until which they are avoided
	headProbes    map[string]relayProbe    // by data centre: the router that is probed as its head
	parts         map[string]receivedSum   // sums of the routers that report to this one
	centres       map[string]receivedSum   // at the head of a data centre: sums of the heads of the others
	outside       receivedSum              // last sum from this router's relay: usage of all routers that do not report to this one
	subtree       Sum                      // usage of all routers that report to this one, as of the last tick
	timingsAt     time.Duration            // when timings were last sent; 0 for never
	timingsDue    bool                     // timings are sent in this period
	timed         int                      // number of servers with timings
	relay         string                   // router to which this one reports; its own address at the head of a data centre
	relaySince    time.Duration            // when the current relay was chosen
	candidate     relayProbe               // possible better relay, used once it answers
	gossipedAt    time.Duration
	log           Log
	outages       Outages             // when some router last read the platform, as far as known
	reads         recentReads         // the reads from which that is known
	peerPositions map[string]Position // up to which each other router knows all changes
	started       []string            // routers that were found to have started since TakeStarted was last called
	memberAdded   bool                // a member was discovered since the last gossip round
	partial       partial             // of the change after the log's revision
	wantedAt      time.Duration       // when this router last asked for changes; 0 for never
	receivedAt    time.Duration       // when the last message of another router arrived; 0 for never
}

// relayProbe is a router whose answer is awaited.
type relayProbe struct {
	address  string
	since    time.Duration
	answered bool
}

// receivedSum is a sum with the time of its receipt.
type receivedSum struct {
	sum       Sum
	at        time.Duration
	timingsAt time.Duration // when the timings in the sum were received
}

func (f *Fleet) init() {
	if f.members != nil {
		return
	}
	f.members = make(map[string]*member)
	f.ended = make(map[string]time.Duration)
	f.avoided = make(map[string]time.Duration)
	f.headProbes = make(map[string]relayProbe)
	f.parts = make(map[string]receivedSum)
	f.centres = make(map[string]receivedSum)
	f.peerPositions = make(map[string]Position)
	f.counter = f.FirstBeat
	if f.Random == nil {
		address := fnv.New64a()
		_, _ = address.Write([]byte(f.Address))                        // hash.Hash.Write never returns an error
		f.Random = rand.New(rand.NewPCG(f.FirstBeat, address.Sum64())) // routers may start at the same time
	}
}

// Period returns the time between two calls of Tick.
func (f *Fleet) Period(now time.Duration) time.Duration {
	return minPeriod + time.Duration(f.liveIn(now, f.DataCentre))*periodPerMember
}

// liveIn returns the number of other live routers in a data centre.
func (f *Fleet) liveIn(now time.Duration, dataCentre string) int {
	n := 0
	for _, m := range f.members {
		if m.DataCentre == dataCentre && f.live(now, m) {
			n++
		}
	}
	return n
}

// dataCentreOf returns the data centre of another router, or an empty string if it is not known.
func (f *Fleet) dataCentreOf(address string) string {
	if m := f.members[address]; m != nil {
		return m.DataCentre
	}
	return ""
}

// Receive handles a message and returns the answer to it, if any. A sender that knows fewer members than this router
// gets the full list.
func (f *Fleet) Receive(now time.Duration, m Message) []Outgoing {
	f.init()
	f.receivedAt = max(1, now)
	f.mergeMembers(now, m.Members)
	f.Position = latest(f.Position, f.withEra(m.Position))
	var out []Outgoing
	if m.Update != nil {
		out = f.receiveUpdate(now, m.From, m.Update)
	}
	if m.Want != nil {
		if n := f.answerWant(now, m.Want); n != nil {
			out = append(out, Outgoing{m.From, Message{From: f.Address, Position: f.Position, Update: n}})
		}
	}
	f.receiveSums(now, m)
	if len(m.Members) == 0 {
		return out
	}
	// A sender that restarted with its clock set back continues from the counter in this answer.
	if known := f.members[m.From]; known != nil && known.Beat > m.Members[0].Beat && m.Members[0].Address == m.From {
		return []Outgoing{{m.From, Message{From: f.Address, Members: append(f.gossip(now), known.Member)}}}
	}
	list := f.gossip(now)
	if len(m.Members) >= len(list) {
		return nil
	}
	return []Outgoing{{m.From, Message{From: f.Address, Members: list}}}
}

// Tick returns the messages that are due. own is this router's own usage.
func (f *Fleet) Tick(now time.Duration, own Sum) []Outgoing {
	f.init()
	out := f.dueMessages(now, own)
	wants := f.want(now)
	for i := range out {
		out[i].Message.Position = f.Position
		if out[i].Message.Members == nil {
			out[i].Message.Update = f.updateFor(now, out[i].To)
		}
	}
	return append(out, wants...)
}

func (f *Fleet) dueMessages(now time.Duration, own Sum) []Outgoing {
	f.counter++
	var out []Outgoing
	period := f.gossipPeriod()
	if f.memberAdded || len(f.members) == 0 {
		period = joinPeriod
	}
	if f.gossipedAt == 0 || now-f.gossipedAt >= period {
		f.gossipedAt, f.memberAdded = now, false
		out = append(out, f.gossipRound(now)...)
	}
	out = append(out, f.chooseRelay(now)...)
	f.aggregate(now)
	return append(out, f.sumMessages(now, own)...)
}

// gossipFanout is the number of random members per gossip round. With only one, some members would by chance receive no updates.
const gossipFanout = 2

// gossipRound returns gossip for random members and one seed.
func (f *Fleet) gossipRound(now time.Duration) []Outgoing {
	f.prune(now)
	list := f.gossip(now)
	var targets []string
	live := f.Live(now)
	f.Random.Shuffle(len(live), func(i, j int) { live[i], live[j] = live[j], live[i] })
	targets = append(targets, live[:min(gossipFanout, len(live))]...)
	if len(f.Seeds) > 0 {
		seed := f.Seeds[f.Random.IntN(len(f.Seeds))]
		if seed != f.Address && !slices.Contains(targets, seed) {
			targets = append(targets, seed)
		}
	}
	var out []Outgoing
	for _, to := range targets {
		out = append(out, Outgoing{to, Message{From: f.Address, Members: list}})
	}
	return out
}

// Connected reports whether messages of other routers arrive, so that this router soon knows what another one reads.
func (f *Fleet) Connected(now time.Duration) bool {
	return f.receivedAt > 0 && now-f.receivedAt <= stalePeriods*f.Period(now)
}
