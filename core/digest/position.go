package digest

import (
	"cmp"
	"fmt"
)

// Position is a point in the history of the platform's state. Revisions are given out again when the platform comes back from a copy, which raises
// the era. The zero value is before all positions.
type Position struct {
	Era      int64 // 0 if the platform tells none
	Revision int64
}

// Compare returns a negative number if a position is before another one, 0 if they are the same, and a positive number otherwise.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// Before reports whether a position is before another one.
func (p Position) Before(q Position) bool { return p.Compare(q) < 0 }

// At returns the position with a revision of the same era.
func (p Position) At(revision int64) Position { return Position{p.Era, revision} }

// String returns the era and the revision.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Revision) }

// latest returns the later of two positions.
func latest(p, q Position) Position {
	if p.Before(q) {
		return q
	}
	return p
}
