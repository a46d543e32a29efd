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

// takeSums takes in what other routers sum up.
func (f *Fleet) takeSums(now time.Duration, m Message) {
	if m.Leaves {
		delete(f.parts, m.From)
		delete(f.centres, m.From)
	}
	if m.Part != nil {
		f.parts[m.From] = heard{counted(m.Part, 1), now}
	}
	if m.Centre != nil {
		f.centres[m.From] = heard{counted(m.Centre, f.near(now, f.dataCentreOf(m.From))), now}
	}
	if m.Others == nil {
		return
	}
	switch m.From {
	case f.relay:
		f.outside = heard{counted(m.Others, f.Size(now)-1), now}
	case f.trial.address:
		// What it told counts this router's group where that reports now: the next answer does not.
		f.trial.answered = true
	}
}

// counted gives a sum with the routers that it covers, where one of an older version, which does not tell, has to be taken for whole.
func counted(s *Sum, whole int) Sum {
	c := *s
	if c.Routers == 0 && len(c.Servers)+len(c.Teams) > 0 {
		c.Routers = int64(whole)
	}
	return c
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

// choose finds the router to report to. It leaves a relay that went silent at once, and one that answers only for another that
// answers too: until then nobody loses sight of the fleet.
func (f *Fleet) choose(now time.Duration) []Out {
	answer := answerWithin * f.Period(now)
	limit := staleAfter * f.Period(now)
	if f.outside.at <= f.since {
		limit = answer
	}
	silent := f.relay != "" && f.relay != f.Address && now-max(f.outside.at, f.since) > limit
	if silent {
		f.avoid(now, f.relay)
	}
	best := f.relayOf(now, f.DataCentre)
	switch {
	case f.relay == "" || silent:
		return f.follow(now, best)
	case best >= f.relay: // each router reports to a lower address, so that nobody reports to itself by way of others
		f.trial = partner{}
		return nil
	case f.trial.address != best:
		f.trial = partner{address: best, since: now}
	case f.trial.answered:
		return f.follow(now, best)
	case now-f.trial.since > answer:
		f.avoid(now, best)
		f.trial = partner{}
		return nil
	}
	return []Out{{best, Message{From: f.Address, Part: &Sum{}}}}
}

// follow begins to report to a relay, and tells those that counted this router before.
func (f *Fleet) follow(now time.Duration, relay string) []Out {
	var out []Out
	if f.relay == f.Address {
		for _, to := range slices.Sorted(maps.Keys(f.centres)) {
			out = append(out, Out{to, Message{From: f.Address, Leaves: true}})
		}
		clear(f.centres)
	} else if f.relay != "" && f.relay != relay {
		out = append(out, Out{f.relay, Message{From: f.Address, Leaves: true}})
	}
	f.relay, f.since, f.trial = relay, now, partner{}
	return out
}

// sum adds up the use of those that report here, and at the head of a data centre that of the others.
func (f *Fleet) sum(now time.Duration) {
	limit := staleAfter * f.Period(now)
	for _, m := range []map[string]heard{f.parts, f.centres} {
		maps.DeleteFunc(m, func(_ string, h heard) bool { return now-h.at > limit })
	}
	f.below = Sum{}
	for _, h := range f.parts {
		f.below.Add(h.sum)
	}
	if f.relay != f.Address {
		return
	}
	f.outside = heard{at: now}
	for _, h := range f.centres {
		f.outside.sum.Add(h.sum)
	}
}

// tell gives the sums that are due: to the own relay, or from the head of a data centre to those of the others, and to the
// routers that report here.
func (f *Fleet) tell(now time.Duration, own Sum) []Out {
	group := own
	if len(f.parts) > 0 {
		group = Sum{}
		group.Add(own)
		group.Add(f.below)
	}
	var out []Out
	if f.relay == f.Address {
		for _, to := range f.heads(now) {
			out = append(out, Out{to, Message{From: f.Address, Centre: &group}})
		}
	} else {
		out = append(out, Out{f.relay, Message{From: f.Address, Part: &group}})
	}
	for _, to := range slices.Sorted(maps.Keys(f.parts)) {
		var rest Sum
		rest.Add(group)
		rest.Subtract(f.parts[to].sum)
		rest.Add(f.outside.sum)
		out = append(out, Out{to, Message{From: f.Address, Others: &rest}})
	}
	return out
}

// heads gives the routers that are told this data centre's sum: all that told theirs lately, and in a data centre from which nobody did one that may.
func (f *Fleet) heads(now time.Duration) []string {
	heads := slices.Sorted(maps.Keys(f.centres))
	told := map[string]bool{f.DataCentre: true}
	for _, address := range heads {
		name := f.dataCentreOf(address)
		told[name] = true
		delete(f.partners, name)
	}
	for _, name := range f.dataCentres(now) {
		if told[name] {
			continue
		}
		if to := f.partner(now, name); to != "" {
			heads = append(heads, to)
		}
	}
	return heads
}

// partner gives the router that is tried as the head of another data centre: the first that gave no cause to avoid it.
func (f *Fleet) partner(now time.Duration, dataCentre string) string {
	tried := f.partners[dataCentre]
	if tried.address != "" && now-tried.since > answerWithin*f.Period(now) {
		f.avoid(now, tried.address)
	}
	if to := f.relayOf(now, dataCentre); to != tried.address {
		f.partners[dataCentre] = partner{address: to, since: now}
	}
	return f.partners[dataCentre].address
}

// avoid notes that a router gave no answer.
func (f *Fleet) avoid(now time.Duration, address string) { f.avoided[address] = now + avoidTime }

// Hears reports whether messages of other routers come, so that what some router learns is known here soon.
func (f *Fleet) Hears(now time.Duration) bool {
	return f.heardAt > 0 && now-f.heardAt <= staleAfter*f.Period(now)
}

// View is how much of the fleet a router's sum covers.
type View struct {
	Relay   string        // the router that tells the sum; this router's own address if it relays for others
	Parts   int           // routers that report to this one
	Covered int64         // other routers that the newest sum covers; 0 if it is too old to count
	Live    int           // other routers that live
	Age     time.Duration // since the newest sum of those that don't report here came; of no meaning if none did
	Known   bool          // the sum is new enough to count
}

// View gives how much of the fleet the newest sum of the others covers.
func (f *Fleet) View(now time.Duration) View {
	v := View{Relay: f.relay, Parts: len(f.parts), Live: f.Size(now) - 1, Age: now - f.outside.at, Known: f.known(now)}
	if v.Known {
		v.Covered = f.below.Routers + f.outside.sum.Routers
	}
	return v
}

// known reports whether the newest sum of those that don't report here is new enough to count.
func (f *Fleet) known(now time.Duration) bool {
	return f.outside.at > 0 && now-f.outside.at <= staleAfter*f.Period(now)
}

// Others gives what all other routers have in use, and false if that is not known now.
func (f *Fleet) Others(now time.Duration) (Sum, bool) {
	if !f.known(now) {
		return Sum{}, false
	}
	var others Sum
	others.Add(f.below)
	others.Add(f.outside.sum)
	return others, true
}
