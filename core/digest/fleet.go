package digest

import (
	"maps"
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
	// avoidTime is how long a relay that went silent is avoided.
	avoidTime = 3 * time.Second
)

// Message is what routers send each other.
type Message struct {
	From string
	// Revision is the newest revision of the platform's state that the sender has heard of, also where it does not have the
	// changes up to it.
	Revision int64
	Members  []Member // gossip; nil if none
	Part     *Sum     // a router's own use, to its relay
	Centre   *Sum     // the use of all that report to a relay, to the other relays
	Others   *Sum     // the use of all other routers, from a relay
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
	avoided  map[string]time.Duration // relays that went silent, until when they are avoided at least
	partners map[string]partner       // by data centre: the router that is tried as its relay
	parts    map[string]heard         // as a relay: the own use of routers that report here
	centres  map[string]heard         // as a relay: what the other relays sum up
	others   heard                    // what the own relay told last
	relay    string
	since    time.Duration // when the present relay was chosen
	gossiped time.Duration
	log      Log
	contact  time.Duration    // when some router read the platform last, as far as is known; 0 for never
	reads    map[string]int64 // up to which revision other routers know all changes
	grew     bool             // a member came to be known since the last round
	heardAt  time.Duration    // when the newest message of another router came; 0 for never
}

// partner is a router that is told this data centre's sum, and since when.
type partner struct {
	address string
	since   time.Duration
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
	near := 0
	for _, m := range f.members {
		if m.DataCentre == f.DataCentre && f.live(now, m) {
			near++
		}
	}
	return leastPeriod + time.Duration(near)*memberPeriod
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
	if m.Part != nil {
		f.parts[m.From] = heard{*m.Part, now}
	}
	if m.Centre != nil {
		f.centres[m.From] = heard{*m.Centre, now}
	}
	if m.Others != nil && m.From == f.relay {
		f.others = heard{*m.Others, now}
	}
	if len(m.Members) == 0 {
		return nil
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
	own.Routers = 1
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
	f.choose(now)
	if f.relay != f.Address {
		return append(out, Out{f.relay, Message{From: f.Address, Part: &own}})
	}
	return append(out, f.relayTick(now, own)...)
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

// choose keeps to the relay of the own data centre, and leaves one that went silent.
func (f *Fleet) choose(now time.Duration) {
	limit := staleAfter * f.Period(now)
	if f.relay != "" && f.relay != f.Address && now-max(f.others.at, f.since) > limit {
		f.avoid(now, f.relay)
	}
	if best := f.relayOf(now, f.DataCentre); best != f.relay {
		f.relay, f.since = best, now
	}
}

// relayTick sums up and tells the routers that report here and the other relays.
func (f *Fleet) relayTick(now time.Duration, own Sum) []Out {
	limit := staleAfter * f.Period(now)
	fresh := func(m map[string]heard) {
		maps.DeleteFunc(m, func(_ string, h heard) bool { return now-h.at > limit })
	}
	fresh(f.parts)
	fresh(f.centres)
	var centre, abroad Sum
	centre.Add(own)
	for _, h := range f.parts {
		centre.Add(h.sum)
	}
	for _, h := range f.centres {
		abroad.Add(h.sum)
	}
	without := func(own Sum) Sum {
		var rest Sum
		rest.Add(centre)
		rest.Subtract(own)
		rest.Add(abroad)
		return rest
	}
	var out []Out
	for _, name := range f.dataCentres(now) {
		if name == f.DataCentre {
			continue
		}
		if to := f.partner(now, name); to != "" {
			out = append(out, Out{to, Message{From: f.Address, Centre: &centre}})
		}
	}
	for _, to := range slices.Sorted(maps.Keys(f.parts)) {
		rest := without(f.parts[to].sum)
		out = append(out, Out{to, Message{From: f.Address, Others: &rest}})
	}
	f.others = heard{without(own), now}
	return out
}

// partner gives the relay of another data centre: whoever told its sum last, since that data centre's routers notice first
// when a relay goes. Without such news it is a router that is not known to be silent.
func (f *Fleet) partner(now time.Duration, dataCentre string) string {
	best, at := "", time.Duration(0)
	for address, h := range f.centres {
		if m := f.members[address]; m != nil && m.DataCentre == dataCentre && h.at > at {
			best, at = address, h.at
		}
	}
	if best != "" {
		delete(f.partners, dataCentre)
		return best
	}
	tried := f.partners[dataCentre]
	if tried.address != "" && now-tried.since > staleAfter*f.Period(now) {
		f.avoid(now, tried.address)
	}
	if to := f.relayOf(now, dataCentre); to != tried.address {
		f.partners[dataCentre] = partner{to, now}
	}
	return f.partners[dataCentre].address
}

// avoid notes that a router went silent.
func (f *Fleet) avoid(now time.Duration, address string) { f.avoided[address] = now + avoidTime }

// Hears reports whether messages of other routers come, so that what some router learns is known here soon.
func (f *Fleet) Hears(now time.Duration) bool {
	return f.heardAt > 0 && now-f.heardAt <= staleAfter*f.Period(now)
}

// View is how much of the fleet a router's sum covers.
type View struct {
	Relay   string        // the router that tells the sum; this router's own address if it relays for others
	Parts   int           // routers that report to this one
	Covered int64         // other routers that the newest sum covers
	Live    int           // other routers that live
	Age     time.Duration // of the newest sum, since it came here; of no meaning if there is none
	Known   bool          // the sum is new enough to count
}

// View gives how much of the fleet the newest sum of the others covers.
func (f *Fleet) View(now time.Duration) View {
	_, known := f.Others(now)
	return View{Relay: f.relay, Parts: len(f.parts), Covered: f.others.sum.Routers, Live: f.Size(now) - 1, Age: now - f.others.at, Known: known}
}

// Others gives what all other routers have in use, and false if that is not known now.
func (f *Fleet) Others(now time.Duration) (Sum, bool) {
	if f.others.at == 0 || now-f.others.at > staleAfter*f.Period(now) {
		return Sum{}, false
	}
	return f.others.sum, true
}
