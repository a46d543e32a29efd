package proc

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/past"
	"mangolug.org/core/pool"
)

// TestCoverageOfListing guards against a router that relies on a listing for longer than the clocks allow (ORDER), and against one that doesn't rely on one that
// shows all changes (LOST).
func TestCoverageOfListing(t *testing.T) {
	now := time.Unix(1000, 0)
	written := func(ago time.Duration) []past.Item { return []past.Item{{Revision: 9, WrittenBy: now.Add(-ago)}} }
	for name, d := range map[string]struct {
		listing Listing
		want    pool.Coverage
	}{
		"all changes ever":        {Listing{Listing: past.Listing{Revision: 1}}, pool.Coverage{Before: math.MaxInt64}},
		"all since it knew them":  {Listing{Listing: past.Listing{Revision: 9, Known: 8, Items: written(time.Second)}}, pool.Coverage{Continuous: true}},
		"those of a minute":       {Listing{Listing: past.Listing{Revision: 9, Items: written(time.Minute)}}, pool.Coverage{Before: 55 * time.Second}},
		"those of some seconds":   {Listing{Listing: past.Listing{Revision: 9, Items: written(4 * time.Second)}}, pool.Coverage{}},
		"a clock that is behind":  {Listing{Listing: past.Listing{Revision: 9, Items: written(-time.Minute)}}, pool.Coverage{}},
		"a removal":               {Listing{Listing: past.Listing{Revision: 10, Items: written(time.Minute)}}, pool.Coverage{}},
		"a store that tells eras": {Listing{Listing: past.Listing{Revision: 1}, FromCopy: true}, pool.Coverage{Before: math.MaxInt64, FromCopy: true}},
	} {
		t.Run(name, func(t *testing.T) {
			if diff := cmp.Diff(d.want, d.listing.coverage(now)); diff != "" {
				t.Error(diff)
			}
		})
	}
}
