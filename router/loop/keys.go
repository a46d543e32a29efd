package loop

import (
	"context"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
	"mangolug.org/router/wire"
)

// keyName is a team's idempotency key.
type keyName struct {
	team, key string
}

// keyOpening is a question to a key's home that waits for its answer.
type keyOpening struct {
	open   fleet.KeyOpen
	home   string
	until  time.Duration
	answer chan fleet.KeyAnswer // has room for one
}

// OpenKey asks a key's home whether its request may be sent; the answer to no answer in time is a refusal.
func (l *Loop) OpenKey(ctx context.Context, team, key string, digest uint64) fleet.KeyAnswer {
	o := keyOpening{
		open:   fleet.KeyOpen{Team: team, Key: key, Digest: digest},
		answer: make(chan fleet.KeyAnswer, 1),
	}
	if ctx.Err() != nil {
		return fleet.KeyAnswer{Reason: fleet.ReasonCallerGone}
	}
	l.post(event{keyOpen: &o})
	select {
	case a := <-o.answer: // comes within KeyRunLifetime
		return a
	case <-l.ended:
		return fleet.KeyAnswer{Reason: fleet.ReasonStopped}
	}
}

// CloseKey tells a key's home how its request ended.
func (l *Loop) CloseKey(c fleet.KeyClose) {
	l.post(event{keyClose: &c})
}

func (l *Loop) openKey(now time.Duration, o keyOpening) {
	l.ticket++
	o.open.Ticket = l.ticket
	slot := keys.Slot(o.open.Team, o.open.Key)
	o.home = l.members.Holder(keys.Duty(slot))
	o.until = now + fleet.KeyRunLifetime
	switch o.home {
	case "":
		o.answer <- fleet.KeyAnswer{Reason: fleet.ReasonNoMajority}
	case l.Self:
		l.resolve(o, l.openHere(now, l.Self, o.open))
	default:
		l.opens[l.ticket] = o
		l.send(now, o.home, &wire.Message{KeyOpen: &o.open})
	}
}

// openHere asks the own home, which must hold the key's slot at this very time.
func (l *Loop) openHere(now time.Duration, from string, o fleet.KeyOpen) fleet.KeyAnswer {
	wall := time.Now()
	l.holdSlot(now, keys.Slot(o.Team, o.Key), wall)
	return l.home.Open(now, wall, from, o)
}

// answerOpen takes a home's answer.
func (l *Loop) answerOpen(a fleet.KeyAnswer, from string) {
	o, found := l.opens[a.Ticket]
	if !found || o.home != from {
		l.counter("keys.lateAnswer").Inc(1)
		return
	}
	delete(l.opens, a.Ticket)
	l.resolve(o, a)
}

func (l *Loop) resolve(o keyOpening, a fleet.KeyAnswer) {
	if a.Verdict == fleet.KeyRun {
		l.opened[keyName{o.open.Team, o.open.Key}] = o.home
	}
	o.answer <- a
}

// expireOpens refuses what a home has not answered in time, and takes the question back.
func (l *Loop) expireOpens(now time.Duration) {
	for ticket, o := range l.opens {
		if now < o.until {
			continue
		}
		delete(l.opens, ticket)
		l.send(now, o.home, &wire.Message{KeyClose: &fleet.KeyClose{
			Team: o.open.Team, Key: o.open.Key, Outcome: fleet.KeyRefused,
		}})
		o.answer <- fleet.KeyAnswer{Reason: fleet.ReasonKeyHomeUnreachable}
	}
}

func (l *Loop) closeKey(now time.Duration, c fleet.KeyClose) {
	name := keyName{c.Team, c.Key}
	home, found := l.opened[name]
	if !found {
		return
	}
	delete(l.opened, name)
	if home == l.Self {
		l.home.Close(now, c)
		return
	}
	l.send(now, home, &wire.Message{KeyClose: &c})
}

// holdKeys tells the home which key slots a majority lends it now.
func (l *Loop) holdKeys(now time.Duration) {
	wall := time.Now()
	for slot := range keys.Slots {
		l.holdSlot(now, slot, wall)
	}
	l.home.Tick(now, wall)
}

func (l *Loop) holdSlot(now time.Duration, slot int, wall time.Time) {
	l.home.Hold(now, slot, l.members.Holds(now, keys.Duty(slot)), wall)
}
