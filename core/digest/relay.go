package digest

import (
	"maps"
	"slices"
	"time"
)

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
