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
	Deleted  bool
}

func (c *Change) size() int { return len(c.Key) + len(c.Value) + changeBytes }

// Update is what a router knows of the platform's state.
type Update struct {
	Revision int64         // revision up to which the sender knows all changes
	Age      time.Duration // time since some router last read the platform, as far as the sender knows
	From, To int64         // Changes holds all changes after From up to To; both are 0 if there are none
	Changes  []Change
	Part     *Part // a part of the first change after From, if that is too large for one message; nil if there is none
}

// Log keeps the newest changes of the platform's state. The zero value is an empty log.
type Log struct {
	changes  []Change // ordered by revision
	bytes    int
	oldest   int64 // all changes after this revision are kept
	revision int64 // revision up to which all changes are known
}

// Reset empties the log and sets its revision, after the complete state was read.
func (l *Log) Reset(revision int64) { *l = Log{oldest: revision, revision: revision} }

// Add appends all changes after revision from up to revision to. It reports whether they are contiguous with the known changes.
func (l *Log) Add(from, to int64, changes []Change) bool {
	if l.revision == 0 || from > l.revision {
		return false
	}
	for _, c := range changes {
		if c.Revision > l.revision {
			l.changes = append(l.changes, c)
			l.bytes += c.size()
		}
	}
	l.revision = max(l.revision, to)
	drop := 0
	for ; drop < len(l.changes) && l.bytes > logBytes; drop++ {
		l.bytes -= l.changes[drop].size()
		l.oldest = l.changes[drop].Revision
	}
	l.changes = slices.Delete(l.changes, 0, drop)
	return true
}

// Since returns the changes after a revision and the revision up to which they are complete, and false if some of them are
// no longer kept. It returns at most limit bytes of changes; 0 is no limit.
func (l *Log) Since(revision int64, limit int) ([]Change, int64, bool) {
	if l.revision == 0 || revision < l.oldest {
		return nil, 0, false
	}
	var changes []Change
	to, bytes := revision, 0
	for _, c := range l.changes {
		if c.Revision <= revision {
			continue
		}
		if bytes += c.size(); limit > 0 && bytes > limit {
			return changes, to, true
		}
		changes, to = append(changes, c), c.Revision
	}
	return changes, max(revision, l.revision), true
}

// ObservePlatform records what this router read from the platform: all changes after revision from up to revision to, or the complete
// state if from is 0.
func (f *Fleet) ObservePlatform(now time.Duration, from, to int64, changes []Change) {
	f.init()
	f.platformReadAt, f.Revision = max(1, now), max(f.Revision, to)
	if from == 0 || !f.log.Add(from, to, changes) {
		f.log.Reset(to)
	}
}

// Since returns the known changes after a revision and the revision up to which they are complete, and false if some of them
// are not known.
func (f *Fleet) Since(revision int64) ([]Change, int64, bool) { return f.log.Since(revision, 0) }

// KnownRevision returns the revision up to which this router knows all changes.
func (f *Fleet) KnownRevision() int64 { return f.log.revision }

// PlatformAge returns the time since some router last read the platform, and false if it is not known.
func (f *Fleet) PlatformAge(now time.Duration) (time.Duration, bool) {
	return now - f.platformReadAt, f.platformReadAt > 0
}

// updateFor returns the update for another router, with the changes that it lacks.
func (f *Fleet) updateFor(now time.Duration, to string) *Update {
	if f.log.revision == 0 {
		return nil
	}
	n := &Update{Revision: f.log.revision, Age: now - f.platformReadAt}
	has, ok := f.peerRevisions[to]
	if !ok || has >= f.log.revision {
		return n
	}
	if changes, last, ok := f.log.Since(has, updateBytes); ok && last > has {
		n.From, n.To, n.Changes = has, last, changes
	}
	return n
}

// receiveUpdate handles an update from another router, and returns the request for the next part if this was one.
func (f *Fleet) receiveUpdate(now time.Duration, from string, n *Update) []Outgoing {
	f.peerRevisions[from] = n.Revision
	f.platformReadAt = max(f.platformReadAt, now-n.Age)
	f.Revision = max(f.Revision, n.Revision)
	if n.To > 0 {
		f.log.Add(n.From, n.To, n.Changes)
	}
	if n.Part != nil && f.receivePart(n.From, n.Part) && f.log.revision < f.Revision {
		return []Outgoing{f.wantFrom(now, from)}
	}
	return nil
}

// Reader reports whether this router reads the platform for all: it has been the head of one of the first data centres,
// by name, for at least readerDelay.
func (f *Fleet) Reader(now time.Duration) bool {
	if f.relay != f.Address || now-f.relaySince < readerDelay {
		return false
	}
	return slices.Index(f.dataCentres(now), f.DataCentre) < readerCentres
}
