package digest

import (
	"slices"
	"time"
)

const (
	// logBytes bounds the changes that are kept for other routers, with their keys: those of some seconds.
	logBytes = 256 << 10
	// newsBytes bounds the changes in one message, so that it fits a datagram.
	newsBytes = 24 << 10
	// changeBytes is about what a change takes besides its key and value.
	changeBytes = 32
	// readingCentres is in how many data centres the relay reads the platform for all: one more than may be lost at once.
	readingCentres = 2
	// readerDelay is how long a router is a relay before it reads for all: until the fleet is known, each takes itself for one.
	readerDelay = 500 * time.Millisecond
)

// Change is a change of the platform's state; what its key and value mean is for the adapter to say.
type Change struct {
	Key      string
	Value    []byte
	Revision int64
	Deleted  bool
}

func (c *Change) size() int { return len(c.Key) + len(c.Value) + changeBytes }

// News tells what a router knows of the platform's state.
type News struct {
	Revision int64         // up to which the sender knows all changes
	Age      time.Duration // since some router read the platform, as far as the sender knows
	From, To int64         // Changes are all after From up to To; both 0 if none are told
	Changes  []Change
}

// Log keeps the newest changes of the platform's state; its zero value is empty.
type Log struct {
	changes  []Change // in the order of their revisions
	bytes    int
	oldest   int64 // all changes after this revision are kept
	revision int64 // up to which all changes are known
}

// Restart begins anew at a revision, as all of the state was read.
func (l *Log) Restart(revision int64) { *l = Log{oldest: revision, revision: revision} }

// Add takes in all changes after a revision up to another, and reports whether they joined what is known.
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

// Since gives the changes after a revision and the revision up to which these are all, and false if they are not all kept.
// It gives no more than limit bytes; 0 is no limit.
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

// Read takes in what this router read of the platform: all changes after a revision up to another, or all of its state if
// the first is 0.
func (f *Fleet) Read(now time.Duration, from, to int64, changes []Change) {
	f.init()
	f.contact, f.Revision = max(1, now), max(f.Revision, to)
	if from == 0 || !f.log.Add(from, to, changes) {
		f.log.Restart(to)
	}
}

// Since gives the changes after a revision that are known here and the revision up to which these are all; false if they are
// not all known.
func (f *Fleet) Since(revision int64) ([]Change, int64, bool) { return f.log.Since(revision, 0) }

// Known gives the revision up to which all changes are known here.
func (f *Fleet) Known() int64 { return f.log.revision }

// Contact gives how long ago some router read the platform, and false if that is not known.
func (f *Fleet) Contact(now time.Duration) (time.Duration, bool) {
	return now - f.contact, f.contact > 0
}

// news is for one other router: it gets the changes that it lacks.
func (f *Fleet) news(now time.Duration, to string) *News {
	if f.log.revision == 0 {
		return nil
	}
	n := &News{Revision: f.log.revision, Age: now - f.contact}
	has, ok := f.reads[to]
	if !ok || has >= f.log.revision {
		return n
	}
	if changes, last, ok := f.log.Since(has, newsBytes); ok && last > has {
		n.From, n.To, n.Changes = has, last, changes
	}
	return n
}

// hear takes another router's news in.
func (f *Fleet) hear(now time.Duration, from string, n *News) {
	f.reads[from] = n.Revision
	f.contact = max(f.contact, now-n.Age)
	f.Revision = max(f.Revision, n.Revision)
	if n.To > 0 {
		f.log.Add(n.From, n.To, n.Changes)
	}
}

// Reader reports whether this router reads the platform for all: it is, for some time, the relay of one of the first data
// centres.
func (f *Fleet) Reader(now time.Duration) bool {
	if f.relay != f.Address || now-f.since < readerDelay {
		return false
	}
	return slices.Index(f.dataCentres(now), f.DataCentre) < readingCentres
}
