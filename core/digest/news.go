package digest

import (
	"slices"
	"time"
)

const (
	// logBytes bounds the size of the changes, with their keys, that are kept for other routers. It holds those of some seconds.
	logBytes = 256 << 10
	// updateBytes bounds the size of the changes in one message, so that the message fits a datagram.
	updateBytes = 24 << 10
	// changeBytes is the approximate size of a change without its key and value.
	changeBytes = 32
	// readerCentres is the number of data centres whose head reads the platform for all: one more than may be lost at once.
	readerCentres = 2
	// readerDelay is how long a router must be a head before it reads for all: until the fleet is known, each router
	// considers itself a head.
	readerDelay = 500 * time.Millisecond
)

// Change is a change of the platform's state. The platform adapter defines the meaning of its key and value.
type Change struct {
	Key      string
	Value    []byte
	Revision int64
	Created  int64 // revision at which the item was created; 0 if another router sent the change
	Deleted  bool
}

func (c *Change) size() int { return len(c.Key) + len(c.Value) + changeBytes }

// Update is what a router knows of the platform's state.
type Update struct {
	Position Position      // up to which the sender knows all changes
	Age      time.Duration // time since some router last read the platform, as far as the sender knows
	Read     uint32        // identifies that read; 0 if the sender tells none, as routers of the version before
	From, To Position      // Changes holds all changes after From up to To; To is zero if there are none
	Changes  []Change
	Part     *Part // a part of the first change after From, if that is too large for one message; nil if there is none
}

// Log keeps the newest changes of the platform's state, all of one era. The zero value is an empty log.
type Log struct {
	changes  []Change // ordered by revision
	bytes    int
	oldest   int64    // all changes after this revision are kept
	position Position // up to which all changes are known; zero if the log is empty
}

// Reset empties the log and sets its position, after the complete state was read.
func (l *Log) Reset(p Position) { *l = Log{oldest: p.Revision, position: p} }

// Add appends all changes after one position up to another. It reports whether they are contiguous with the known changes, and of the same era.
func (l *Log) Add(from, to Position, changes []Change) bool {
	if !l.continues(from) || to.Era != from.Era {
		return false
	}
	for _, c := range changes {
		if c.Revision > l.position.Revision {
			l.changes = append(l.changes, c)
			l.bytes += c.size()
		}
	}
	l.position = latest(l.position, to)
	drop := 0
	for ; drop < len(l.changes) && l.bytes > logBytes; drop++ {
		l.bytes -= l.changes[drop].size()
		l.oldest = l.changes[drop].Revision
	}
	l.changes = slices.Delete(l.changes, 0, drop)
	return true
}

// continues reports whether all changes of a position's era up to it are known.
func (l *Log) continues(p Position) bool {
	return l.position != Position{} && p.Era == l.position.Era && !l.position.Before(p)
}

// Since returns the changes after a position and the position up to which they are complete, and false if some of them are no longer kept or the
// position is of another era. It returns at most limit bytes of changes; 0 is no limit.
func (l *Log) Since(p Position, limit int) ([]Change, Position, bool) {
	if l.position == (Position{}) || p.Era != l.position.Era || p.Revision < l.oldest {
		return nil, Position{}, false
	}
	var changes []Change
	to, bytes := p, 0
	for _, c := range l.changes {
		if c.Revision <= p.Revision {
			continue
		}
		if bytes += c.size(); limit > 0 && bytes > limit {
			return changes, to, true
		}
		changes, to = append(changes, c), p.At(c.Revision)
	}
	return changes, latest(p, l.position), true
}

// ObservePlatform records what this router read from the platform: all changes after one position up to another, or the complete state if from is
// zero.
func (f *Fleet) ObservePlatform(now time.Duration, from, to Position, changes []Change) {
	f.init()
	f.outages.Observe(max(1, now), to)
	f.reads.newest = max(1, f.Random.Uint32())
	f.reads.add(f.reads.newest)
	f.Position = latest(f.Position, to)
	if from == (Position{}) || !f.log.Add(from, to, changes) {
		f.log.Reset(to)
	}
}

// Since returns the known changes after a position and the position up to which they are complete, and false if some of them are not known.
func (f *Fleet) Since(p Position) ([]Change, Position, bool) { return f.log.Since(p, 0) }

// Known returns the position up to which this router knows all changes.
func (f *Fleet) Known() Position { return f.log.position }

// PlatformAge returns the time since some router last read the platform, and false if it is not known.
func (f *Fleet) PlatformAge(now time.Duration) (time.Duration, bool) {
	return now - f.outages.readAt, f.outages.readAt > 0
}

// Outages returns the outages of the platform, as far as this router knows.
func (f *Fleet) Outages() Outages { return f.outages }

// updateFor returns the update for another router, with the changes that it lacks.
func (f *Fleet) updateFor(now time.Duration, to string) *Update {
	if f.log.position == (Position{}) {
		return nil
	}
	n := &Update{Position: f.log.position, Age: now - f.outages.readAt, Read: f.reads.newest}
	has, ok := f.peerPositions[to]
	if !ok || !has.Before(f.log.position) {
		return n
	}
	if changes, last, ok := f.log.Since(has, updateBytes); ok && has.Before(last) {
		n.From, n.To, n.Changes = has, last, changes
	}
	return n
}

// receiveUpdate handles an update from another router, and returns the request for the next part if this was one.
func (f *Fleet) receiveUpdate(now time.Duration, from string, n *Update) []Outgoing {
	position := f.withEra(n.Position)
	f.peerPositions[from] = position
	f.Position = latest(f.Position, position)
	f.observeRead(now-n.Age, n.Read)
	if n.To != (Position{}) {
		f.log.Add(f.withEra(n.From), f.withEra(n.To), n.Changes)
	}
	if n.Part != nil && f.receivePart(f.withEra(n.From), n.Part) && f.log.position.Before(f.Position) {
		return []Outgoing{f.wantFrom(now, from)}
	}
	return nil
}

// observeRead records that some router read the platform at a time. A read that is known already is not recorded again: its age in messages lacks the
// time that they were under way, so that it would grow too slowly, or not at all, beside a router that handles its messages late.
func (f *Fleet) observeRead(readAt time.Duration, read uint32) {
	if f.reads.contains(read) {
		return
	}
	f.reads.add(read)
	if readAt > f.outages.readAt {
		f.reads.newest = read
	}
	f.outages.Observe(readAt, f.Position)
}

// withEra returns a position of another router. Routers of the version before tell no era, and follow the same platform.
func (f *Fleet) withEra(p Position) Position {
	if p.Era == 0 {
		p.Era = f.log.position.Era
	}
	return p
}

// Reader reports whether this router reads the platform for all: it has been the head of one of the first data centres,
// by name, for at least readerDelay.
func (f *Fleet) Reader(now time.Duration) bool {
	if f.relay != f.Address || now-f.relaySince < readerDelay {
		return false
	}
	return slices.Index(f.dataCentres(now), f.DataCentre) < readerCentres
}
