package past

// Change is a change of the store by its history.
type Change struct {
	Key     string
	Item    Item
	Deleted bool
	Vital   bool // what the item was before its removal matters
}

// Gaps returns the revisions after which the history tells all that the listing doesn't explain, and only the newest of these changes. Both are 0 if everything
// since the changes that the reader knew is explained.
func (l *Listing) Gaps() (all, newest int64) {
	explained := l.byRevision()
	inNewest := true
	for r := l.Revision; r > max(l.Known, firstRevision); r-- {
		after := r - 1
		switch i, ok := explained[r]; {
		case ok && i.Replaces && l.Known == 0:
			after = max(i.Created, 1) - 1 // the history tells what was replaced only from its creation on
		case ok:
			inNewest = all == 0
			continue
		}
		if all == 0 || after < all {
			all = after
		}
		if inNewest {
			newest = all
		}
	}
	return all, newest
}

// Explain adds the changes of a history that is complete from some revision up to the listing's, in their order. A removal and a replaced value stay unexplained
// if the history doesn't tell what was there.
func (l *Listing) Explain(history []Change) {
	told := make(map[string]bool) // keys whose values the history tells
	for _, c := range history {
		i := c.Item
		if c.Deleted {
			if told[c.Key] || !c.Vital {
				l.Items = append(l.Items, Item{Revision: i.Revision})
			}
			delete(told, c.Key)
			continue
		}
		i.Replaces = i.Replaces && !told[c.Key]
		l.Items = append(l.Items, i) // goes before an item of the listing with the same revision
		told[c.Key] = true
	}
}
