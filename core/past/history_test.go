package past

import "testing"

// TestGaps guards against a history that is asked for too late to tell a change that was missed (LOST), and against a call where nothing was.
func TestGaps(t *testing.T) {
	for name, d := range map[string]struct {
		listing     Listing
		all, newest int64
	}{
		"nothing is missing":       {Listing{Items: []Item{{Revision: 2}, {Revision: 3}}, Revision: 3}, 0, 0},
		"one change":               {Listing{Items: []Item{{Revision: 2}, {Revision: 4}}, Revision: 4}, 2, 2},
		"the newest":               {Listing{Items: []Item{{Revision: 2}, {Revision: 3}}, Revision: 5}, 3, 3},
		"old and new ones":         {Listing{Items: []Item{{Revision: 4}, {Revision: 5}, {Revision: 8}}, Revision: 8}, 1, 5},
		"what the reader knew":     {Listing{Items: []Item{{Revision: 4}, {Revision: 8}}, Revision: 8, Known: 6}, 6, 6},
		"a creation":               {Listing{Items: []Item{{Revision: 5, Created: 2}, {Revision: 3}, {Revision: 4}}, Revision: 5}, 0, 0},
		"a value that matters":     {Listing{Items: []Item{{Revision: 2}, {Revision: 3}, {Revision: 6, Created: 4, Replaces: true}}, Revision: 6}, 3, 3},
		"one that the reader knew": {Listing{Items: []Item{{Revision: 6, Created: 2, Replaces: true}}, Revision: 6, Known: 5}, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			if all, newest := d.listing.Gaps(); all != d.all || newest != d.newest {
				t.Errorf("gaps from %d and %d, want %d and %d", all, newest, d.all, d.newest)
			}
		})
	}
}

// TestExplain guards against a removal or a replaced value that counts as explained although the history doesn't tell what was there (ORDER).
func TestExplain(t *testing.T) {
	write := func(key string, revision int64, replaces bool) Change {
		return Change{Key: key, Item: Item{Revision: revision, Replaces: replaces}, Vital: true}
	}
	removal := func(key string, revision int64, vital bool) Change {
		return Change{Key: key, Item: Item{Revision: revision}, Deleted: true, Vital: vital}
	}
	for name, d := range map[string]struct {
		history  []Change
		complete bool
	}{
		"written and removed":            {[]Change{write("a", 3, false), removal("a", 4, true)}, true},
		"removed":                        {[]Change{write("b", 3, false), removal("a", 4, true)}, false},
		"removed, of no matter":          {[]Change{write("b", 3, false), removal("a", 4, false)}, true},
		"written twice":                  {[]Change{write("a", 3, false), write("a", 4, true)}, true},
		"another value was replaced":     {[]Change{write("a", 3, true), write("a", 4, true)}, false},
		"removed twice":                  {[]Change{removal("a", 3, false), removal("a", 4, true)}, false},
		"a change is missing in between": {[]Change{write("a", 4, false)}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l := Listing{Items: []Item{{Revision: 2}}, Revision: 4}
			l.Explain(d.history)
			if got := l.Coverage().Complete; got != d.complete {
				t.Errorf("all is explained: %t, want %t", got, d.complete)
			}
		})
	}
}
