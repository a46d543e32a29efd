package digest

import (
	"slices"
	"time"
)

// wantTimeout is the time after which a router asks again for changes that have not arrived, as datagrams may be lost.
const wantTimeout = 100 * time.Millisecond

// Want asks another router for the changes after a revision, of which the first may be too large for one message.
type Want struct {
	After  Position
	Offset int // number of bytes of the first change's value that the sender already has
}

// Part is a part of the value of a change that is too large for one message. The change is the first after the From of its update.
type Part struct {
	Key      string
	Revision int64 // of the era of From
	Offset   int   // of Bytes in the value
	Size     int   // of the whole value
	Bytes    []byte
}

// partial is the part of a change that has arrived so far.
type partial struct {
	after    Position // the change is the first after this position
	revision int64
	size     int
	value    []byte
}

// want returns the request for changes that this router lacks and can't read from the platform, if one is due.
func (f *Fleet) want(now time.Duration) []Outgoing {
	if !f.SourceLost || f.wantedAt > 0 && now-f.wantedAt < wantTimeout {
		return nil
	}
	if f.log.position.Era != f.Position.Era || f.log.position == (Position{}) || !f.log.position.Before(f.Position) {
		return nil // changes of a later era don't continue those that are known
	}
	var ahead []string
	for _, address := range f.Live(now) {
		if f.log.position.Before(f.peerPositions[address]) {
			ahead = append(ahead, address)
		}
	}
	if len(ahead) == 0 {
		ahead = f.Live(now)
	}
	if len(ahead) == 0 {
		return nil
	}
	return []Outgoing{f.wantFrom(now, ahead[f.Random.IntN(len(ahead))])}
}

// wantFrom returns the request for changes to one router.
func (f *Fleet) wantFrom(now time.Duration, to string) Outgoing {
	f.wantedAt = max(1, now)
	w := Want{After: f.log.position}
	if f.partial.after == w.After {
		w.Offset = len(f.partial.value)
	}
	return Outgoing{to, Message{From: f.Address, Position: f.Position, Want: &w}}
}

// answerWant returns the changes that another router asked for, or a part of the first one; nil if this router no longer keeps them.
func (f *Fleet) answerWant(now time.Duration, w *Want) *Update {
	after := f.withEra(w.After)
	changes, to, ok := f.log.Since(after, updateBytes)
	if !ok {
		return nil
	}
	n := &Update{Position: f.log.position, Age: now - f.outages.readAt, Read: f.reads.newest}
	if after.Before(to) {
		n.From, n.To, n.Changes = after, to, changes
		return n
	}
	c, ok := f.log.first(after.Revision)
	if !ok || w.Offset < 0 || w.Offset >= len(c.Value) {
		return nil
	}
	end := min(len(c.Value), w.Offset+updateBytes)
	n.From, n.Part = after, &Part{Key: c.Key, Revision: c.Revision, Offset: w.Offset, Size: len(c.Value), Bytes: c.Value[w.Offset:end]}
	return n
}

// first returns the first change after a revision.
func (l *Log) first(revision int64) (Change, bool) {
	i := slices.IndexFunc(l.changes, func(c Change) bool { return c.Revision > revision })
	if i < 0 {
		return Change{}, false
	}
	return l.changes[i], true
}

// receivePart adds a part to what has arrived of a change, and the change to the log once it is whole. It reports whether the part was the next one.
func (f *Fleet) receivePart(after Position, p *Part) bool {
	if after != f.log.position || p.Revision <= after.Revision || p.Size > logBytes {
		return false
	}
	if f.partial.after != after || f.partial.revision != p.Revision || f.partial.size != p.Size {
		f.partial = partial{after: after, revision: p.Revision, size: p.Size}
	}
	if p.Offset != len(f.partial.value) || len(p.Bytes) == 0 || p.Offset+len(p.Bytes) > p.Size {
		return false
	}
	f.partial.value = append(f.partial.value, p.Bytes...)
	if len(f.partial.value) == p.Size {
		f.log.Add(after, after.At(p.Revision), []Change{{Key: p.Key, Value: f.partial.value, Revision: p.Revision}})
		f.partial = partial{}
	}
	return true
}
