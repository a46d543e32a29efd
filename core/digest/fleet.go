package digest

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// joinPeriod is the time between two rounds while new members come to be known.
	joinPeriod = 100 * time.Millisecond
	// leastPeriod is the time between two sums in a small fleet.
	leastPeriod = 50 * time.Millisecond
	// memberPeriod is by how much each member of the own data centre lengthens it, so that a relay's work stays bounded.
	memberPeriod = 2 * time.Millisecond
	// staleAfter is how many periods old a sum may be to count.
	staleAfter = 5
	// answerWithin is how many periods the first answer of a router may take: its own period, and half as much again for each way.
	answerWithin = 3
	// avoidTime is how long a router that gave no answer is not tried as a relay again, so that a slow one is not taken up and left all the time.
	avoidTime = 3 * time.Second
)

// Message is what routers send each other.
type Message struct {
	From string
	// Revision is the newest revision of the platform's state that the sender has heard of, also where it does not have the
	// changes up to it.
	Revision int64
	Members  []Member // gossip; nil if none
	Part     *Sum     // the use of a router and of those that report to it, to its relay; empty where a router only tries one
	Centre   *Sum     // the use of all that report to a relay, to the relays of the other data centres
	Others   *Sum     // the use of all other routers, from a relay
	Leaves   bool     // the sender no longer reports to the receiver, or no longer relays for its data centre
	News     *News    // of the platform's state; nil if the sender knows nothing of it
}

// Out is a message to be sent.
type Out struct {
	To      string
	Message Message
}

// Fleet is one router's view of the others; the zero value works once Address and DataCentre are set.
type Fleet struct {
	Address    string // ip:port of this router for datagrams
	DataCentre string
	Seeds      []string // addresses that may know the fleet
	Began      uint64   // the counter's first value, higher with each start of a process
	Revision   int64    // newest revision of the platform's state that this router knows of
	Random     *rand.Rand

	beat     uint64
	members  map[string]*member
	avoided  map[string]time.Duration // routers that gave no answer, until when they are avoided
	partners map[string]partner       // by data centre: the router that is tried as its relay
	parts    map[string]heard         // what routers that report here sum up
	centres  map[string]heard         // at the head of a data centre: what the heads of the others sum up
	outside  heard                    // what the own relay told last: the use of all that don't report here
	below    Sum                      // the use of all that report here, at the last tick
	relay    string                   // where this router reports; its own address at the head of a data centre
	since    time.Duration            // when the present relay was chosen
	trial    partner                  // a router that may be the better relay, once it answers
	gossiped time.Duration
	log      Log
	contact  time.Duration    // when some router read the platform last, as far as is known; 0 for never
	reads    map[string]int64 // up to which revision other routers know all changes
	grew     bool             // a member came to be known since the last round
	heardAt  time.Duration    // when the newest message of another router came; 0 for never
}

// partner is a router from which an answer is awaited, and since when.
type partner struct {
	address  string
	since    time.Duration
	answered bool
}

// heard is a sum with when it came.
type heard struct {
	sum Sum
	at  time.Duration
}

func (f *Fleet) init() {
	if f.members != nil {
		return
	}
	f.members = make(map[string]*member)
	f.avoided = make(map[string]time.Duration)
	f.partners = make(map[string]partner)
	f.parts = make(map[string]heard)
	f.centres = make(map[string]heard)
	f.reads = make(map[string]int64)
	f.beat = f.Began
	if f.Random == nil {
		f.Random = rand.New(rand.NewPCG(f.Began, 0))
	}
}

// Period gives the time between two calls of Tick.
func (f *Fleet) Period(now time.Duration) time.Duration {
	return leastPeriod + time.Duration(f.near(now, f.DataCentre))*memberPeriod
}

// near gives how many other routers of a data centre live.
func (f *Fleet) near(now time.Duration, dataCentre string) int {
	n := 0
	for _, m := range f.members {
		if m.DataCentre == dataCentre && f.live(now, m) {
			n++
		}
	}
	return n
}

// dataCentreOf gives the data centre of another router; empty if that is not known.
func (f *Fleet) dataCentreOf(address string) string {
	if m := f.members[address]; m != nil {
		return m.DataCentre
	}
	return ""
}

// Receive takes a message in and gives the answer to it, if any: who knows fewer members than this router is told the rest.
func (f *Fleet) Receive(now time.Duration, m Message) []Out {
	f.init()
	f.heardAt = max(1, now)
	f.learn(now, m.Members)
	f.Revision = max(f.Revision, m.Revision)
	if m.News != nil {
		f.hear(now, m.From, m.News)
	}
	f.takeSums(now, m)
	if len(m.Members) == 0 {
		return nil
	}
	// A sender that started anew with its clock set back goes on from the counter that it hears of.
	if known := f.members[m.From]; known != nil && known.Beat > m.Members[0].Beat && m.Members[0].Address == m.From {
		return []Out{{m.From, Message{From: f.Address, Members: append(f.gossip(now), known.Member)}}}
	}
	list := f.gossip(now)
	if len(m.Members) >= len(list) {
		return nil
	}
	return []Out{{m.From, Message{From: f.Address, Members: list}}}
}

// Tick gives the messages that are due, with this router's own use.
func (f *Fleet) Tick(now time.Duration, own Sum) []Out {
	f.init()
	out := f.due(now, own)
	for i := range out {
		out[i].Message.Revision = f.Revision
		if out[i].Message.Members == nil {
			out[i].Message.News = f.news(now, out[i].To)
		}
	}
	return out
}

func (f *Fleet) due(now time.Duration, own Sum) []Out {
	f.beat++
	var out []Out
	period := f.gossipPeriod()
	if f.grew || len(f.members) == 0 {
		period = joinPeriod
	}
	if f.gossiped == 0 || now-f.gossiped >= period {
		f.gossiped, f.grew = now, false
		out = append(out, f.round(now)...)
	}
	out = append(out, f.choose(now)...)
	f.sum(now)
	return append(out, f.tell(now, own)...)
}

// gossipFanout is with how many random members a round gossips: with one alone, chance leaves some members without news.
const gossipFanout = 2

// round gossips with random members and one seed.
func (f *Fleet) round(now time.Duration) []Out {
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
	var out []Out
	for _, to := range targets {
		out = append(out, Out{to, Message{From: f.Address, Members: list}})
	}
	return out
}

// Hears reports whether messages of other routers come, so that what some router learns is known here soon.
func (f *Fleet) Hears(now time.Duration) bool {
	return f.heardAt > 0 && now-f.heardAt <= staleAfter*f.Period(now)
}
