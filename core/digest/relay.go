package digest

import (
	"maps"
	"slices"
	"time"
)

// receiveSums stores the sums in a message of another router.
func (f *Fleet) receiveSums(now time.Duration, m Message) {
	if m.Leave {
		delete(f.parts, m.From)
		delete(f.centres, m.From)
	}
	if m.Part != nil {
		f.parts[m.From] = f.replaced(now, f.parts[m.From], withRouterCount(m.Part, 1))
	}
	if m.Centre != nil {
		f.centres[m.From] = f.replaced(now, f.centres[m.From], withRouterCount(m.Centre, f.liveIn(now, f.dataCentreOf(m.From))))
	}
	if m.Others == nil {
		return
	}
	switch m.From {
	case f.relay:
		f.outside = f.replaced(now, f.outside, withRouterCount(m.Others, f.Size(now)-1))
	case f.candidate.address:
		// This sum still includes this router's group, by way of its current relay. The next one after the switch does not.
		f.candidate.answered = true
	}
}

// withRouterCount returns a sum with the number of routers that it covers. Older versions do not send the number; their
// sums are assumed complete.
func withRouterCount(s *Sum, expected int) Sum {
	c := *s
	if c.Routers == 0 && len(c.Servers)+len(c.Teams) > 0 {
		c.Routers = int64(expected)
	}
	return c
}

// chooseRelay selects the router to report to and returns the messages for a switch or a probe. It leaves a silent relay
// immediately, but replaces a responsive one only after the candidate has answered, so that no router loses its view of
// the fleet in between.
func (f *Fleet) chooseRelay(now time.Duration) []Outgoing {
	answer := answerPeriods * f.Period(now)
	limit := stalePeriods * f.Period(now)
	if f.outside.at <= f.relaySince {
		limit = answer
	}
	silent := f.relay != "" && f.relay != f.Address && now-max(f.outside.at, f.relaySince) > limit
	if silent {
		f.avoid(now, f.relay)
	}
	best := f.relayOf(now, f.DataCentre)
	switch {
	case f.relay == "" || silent:
		return f.switchRelay(now, best)
	case best >= f.relay: // each router reports to a lower address, so that there are no cycles
		f.candidate = relayProbe{}
		return nil
	case f.candidate.address != best:
		f.candidate = relayProbe{address: best, since: now}
	case f.candidate.answered:
		return f.switchRelay(now, best)
	case now-f.candidate.since > answer:
		f.avoid(now, best)
		f.candidate = relayProbe{}
		return nil
	}
	return []Outgoing{{best, Message{From: f.Address, Part: &Sum{}}}}
}

// switchRelay starts reporting to a relay, and returns notices for the routers that included this one's sum before.
func (f *Fleet) switchRelay(now time.Duration, relay string) []Outgoing {
	var out []Outgoing
	if f.relay == f.Address {
		for _, to := range slices.Sorted(maps.Keys(f.centres)) {
			out = append(out, Outgoing{to, Message{From: f.Address, Leave: true}})
		}
		clear(f.centres)
	} else if f.relay != "" && f.relay != relay {
		out = append(out, Outgoing{f.relay, Message{From: f.Address, Leave: true}})
	}
	f.relay, f.relaySince, f.candidate = relay, now, relayProbe{}
	return out
}

// aggregate drops stale sums, adds up the usage of the routers that report to this one and, at the head of a data
// centre, that of the other data centres.
func (f *Fleet) aggregate(now time.Duration) {
	limit := stalePeriods * f.Period(now)
	for _, m := range []map[string]receivedSum{f.parts, f.centres} {
		maps.DeleteFunc(m, func(_ string, h receivedSum) bool { return now-h.at > limit })
	}
	f.updateTimingsDue(now)
	f.subtree = Sum{}
	for _, h := range f.parts {
		f.subtree.Add(f.due(h.sum))
	}
	if f.timingsDue {
		f.timed = max(len(f.subtree.Timings), len(f.outside.sum.Timings))
	}
	if f.relay != f.Address {
		return
	}
	f.outside = receivedSum{at: now}
	for _, h := range f.centres {
		f.outside.sum.Add(f.due(h.sum))
	}
}

// sumMessages returns the messages with sums: to this router's relay or, at the head of a data centre, to the other heads,
// and to the routers that report to this one.
func (f *Fleet) sumMessages(now time.Duration, own Sum) []Outgoing {
	own = f.due(own)
	group := own
	if len(f.parts) > 0 {
		group = Sum{}
		group.Add(own)
		group.Add(f.subtree)
	}
	var out []Outgoing
	if f.relay == f.Address {
		for _, to := range f.centreHeads(now) {
			out = append(out, Outgoing{to, Message{From: f.Address, Centre: &group}})
		}
	} else {
		out = append(out, Outgoing{f.relay, Message{From: f.Address, Part: &group}})
	}
	for _, to := range slices.Sorted(maps.Keys(f.parts)) {
		var rest Sum
		rest.Add(group)
		rest.Subtract(f.due(f.parts[to].sum))
		rest.Add(f.due(f.outside.sum))
		out = append(out, Outgoing{to, Message{From: f.Address, Others: &rest}})
	}
	return out
}

// centreHeads returns the routers that receive this data centre's sum: all that recently sent theirs, and one probed
// router in each data centre without such a sender.
func (f *Fleet) centreHeads(now time.Duration) []string {
	heads := slices.Sorted(maps.Keys(f.centres))
	covered := map[string]bool{f.DataCentre: true}
	for _, address := range heads {
		name := f.dataCentreOf(address)
		covered[name] = true
		delete(f.headProbes, name)
	}
	for _, name := range f.dataCentres(now) {
		if covered[name] {
			continue
		}
		if to := f.probeHead(now, name); to != "" {
			heads = append(heads, to)
		}
	}
	return heads
}

// probeHead returns the router that is probed as the head of another data centre: its lowest live address that is not
// avoided, or an empty string.
func (f *Fleet) probeHead(now time.Duration, dataCentre string) string {
	probe := f.headProbes[dataCentre]
	if probe.address != "" && now-probe.since > answerPeriods*f.Period(now) {
		f.avoid(now, probe.address)
	}
	if to := f.relayOf(now, dataCentre); to != probe.address {
		f.headProbes[dataCentre] = relayProbe{address: to, since: now}
	}
	return f.headProbes[dataCentre].address
}

// avoid records that a router did not answer.
func (f *Fleet) avoid(now time.Duration, address string) { f.avoided[address] = now + avoidTime }

// View describes how much of the fleet a router's sum covers.
type View struct {
	Relay   string        // router that sends the sum; this router's own address if it is the head of its data centre
	Parts   int           // number of routers that report to this one
	Covered int64         // number of other routers that the newest sum covers; 0 if the sum is stale
	Live    int           // number of other live routers
	Age     time.Duration // age of the newest sum of the routers that do not report to this one; meaningless if there is none
	Known   bool          // the sum is not stale
}

// View returns how much of the fleet the newest sum of the others covers.
func (f *Fleet) View(now time.Duration) View {
	v := View{Relay: f.relay, Parts: len(f.parts), Live: f.Size(now) - 1, Age: now - f.outside.at, Known: f.known(now)}
	if v.Known {
		v.Covered = f.subtree.Routers + f.outside.sum.Routers
	}
	return v
}

// known reports whether there is a sum of the routers that do not report to this one, and it is not stale.
func (f *Fleet) known(now time.Duration) bool {
	return f.outside.at > 0 && now-f.outside.at <= stalePeriods*f.Period(now)
}

// Others returns the usage and offered load of all other routers, and false if it is not known. It has timings in the periods in which
// they are sent.
func (f *Fleet) Others(now time.Duration) (Sum, bool) {
	if !f.known(now) {
		return Sum{}, false
	}
	var others Sum
	others.Add(f.subtree)
	others.Add(f.due(f.outside.sum))
	return others, true
}
