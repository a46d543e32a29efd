package past

import "time"

// firstRevision is the revision of a store in which nothing was changed yet.
const firstRevision = 1

// Item is what a listing tells of the changes of an item.
type Item struct {
	Revision  int64     // of its last change
	Created   int64     // revision of its creation; 0 if that is not known
	Replaces  bool      // its last change replaced a value that matters as much as a removed item
	WrittenBy time.Time // when it had been written for sure; zero if that is not known
}

// Listing is all items of a store as of a revision. Each change of the store raises its revision by one, so that a revision at which no item of the
// listing was created or changed last is that of a removal or of a value that was replaced.
type Listing struct {
	Items    []Item
	Revision int64 // of the store
	Known    int64 // revision up to which the reader knows all changes from before; 0 for none
}

// Coverage is what a listing tells of items that came and went before it. The zero value tells nothing.
type Coverage struct {
	Complete bool      // all changes after those that the reader knew are in the listing
	Since    time.Time // otherwise all values that the listing lacks were gone by then; zero if that is not known
}

// Coverage follows the items from the newest change back to the first revision that the listing doesn't explain.
func (l *Listing) Coverage() Coverage {
	byRevision := l.byRevision()
	var c Coverage
	for r := l.Revision; r > max(l.Known, firstRevision); r-- {
		i, ok := byRevision[r]
		if !ok {
			return c
		}
		if c.Since.IsZero() || !i.WrittenBy.IsZero() && i.WrittenBy.Before(c.Since) {
			c.Since = i.WrittenBy
		}
		if i.Replaces && l.Known == 0 {
			return c
		}
	}
	c.Complete = true
	return c
}

// byRevision returns the items by the revisions that they explain.
func (l *Listing) byRevision() map[int64]Item {
	explained := make(map[int64]Item, len(l.Items))
	for _, i := range l.Items {
		if i.Created > 0 {
			explained[i.Created] = Item{} // replaced below if it is also that of a last change
		}
	}
	for _, i := range l.Items {
		explained[i.Revision] = i
	}
	return explained
}
