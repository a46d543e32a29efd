package past

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCoverage guards against a removal that a reader takes for older than it can be (ORDER), and against one that it assumes where nothing was removed (LOST).
func TestCoverage(t *testing.T) {
	at := func(seconds int64) time.Time { return time.Unix(seconds, 0) }
	item := func(revision, seconds int64) Item { return Item{Revision: revision, WrittenBy: at(seconds)} }
	configuration := func(revision int64) Item { return Item{Revision: revision} }
	for name, d := range map[string]struct {
		listing Listing
		want    Coverage
	}{
		"an empty store":         {Listing{Revision: 1}, Coverage{Complete: true}},
		"all changes are listed": {Listing{Items: []Item{configuration(2), item(3, 10), item(4, 11)}, Revision: 4}, Coverage{true, at(10)}},
		"a removal before the oldest item": {
			Listing{Items: []Item{item(3, 10), item(4, 11)}, Revision: 4}, Coverage{Since: at(10)},
		},
		"a removal between two items": {
			Listing{Items: []Item{item(2, 10), item(4, 11), item(5, 30)}, Revision: 5}, Coverage{Since: at(11)},
		},
		"the newest change is a removal": {Listing{Items: []Item{item(2, 10), item(3, 11)}, Revision: 4}, Coverage{}},
		"an item replaced another value": {
			Listing{Items: []Item{item(3, 10), {Revision: 4, Replaces: true, WrittenBy: at(50)}}, Revision: 4}, Coverage{Since: at(50)},
		},
		"it replaced a value that was known": {
			Listing{Items: []Item{item(3, 10), {Revision: 4, Replaces: true, WrittenBy: at(50)}}, Revision: 4, Known: 3}, Coverage{true, at(50)},
		},
		"an older change has the earliest time": {
			Listing{Items: []Item{item(3, 40), item(4, 20), configuration(5)}, Revision: 5, Known: 2}, Coverage{true, at(20)},
		},
		"a removal that was known":     {Listing{Items: []Item{item(2, 10), item(5, 11)}, Revision: 5, Known: 4}, Coverage{true, at(11)}},
		"a removal that was not known": {Listing{Items: []Item{item(2, 10), item(5, 11)}, Revision: 5, Known: 3}, Coverage{Since: at(11)}},
		"a value that doesn't matter was replaced": {
			Listing{Items: []Item{item(3, 10), item(4, 11), {Revision: 5, Created: 2}}, Revision: 5}, Coverage{true, at(10)},
		},
		"one was replaced twice": {
			Listing{Items: []Item{item(3, 10), item(4, 11), {Revision: 6, Created: 2}}, Revision: 6}, Coverage{},
		},
		"one that matters was replaced": {
			Listing{Items: []Item{item(3, 10), {Revision: 4, Created: 2, Replaces: true, WrittenBy: at(50)}}, Revision: 4}, Coverage{Since: at(50)},
		},
		"no time is known":    {Listing{Items: []Item{configuration(3)}, Revision: 3}, Coverage{}},
		"nothing has changed": {Listing{Items: []Item{item(2, 10)}, Revision: 7, Known: 7}, Coverage{Complete: true}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(d.want, d.listing.Coverage()); diff != "" {
				t.Error(diff)
			}
		})
	}
}
