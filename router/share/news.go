package share

import (
	"math"
	"time"

	"mangolug.org/core/digest"
)

// encodeUpdate returns the wire format of a router's update on the platform's state.
func encodeUpdate(n *digest.Update) *News {
	if n == nil {
		return nil
	}
	w := &News{Revision: n.Revision, Age: toMillis(n.Age), From: n.From, To: n.To}
	for _, c := range n.Changes {
		w.Changes = append(w.Changes, &Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return w
}

// toMillis returns a time in whole milliseconds.
func toMillis(t time.Duration) uint32 { return uint32(min(max(0, t.Milliseconds()), math.MaxUint32)) }

// decodeUpdate returns the update in a wire message.
func decodeUpdate(w *News) *digest.Update {
	if w == nil {
		return nil
	}
	n := &digest.Update{Revision: w.Revision, Age: time.Duration(w.Age) * time.Millisecond, From: w.From, To: w.To}
	for _, c := range w.Changes {
		n.Changes = append(n.Changes, digest.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	return n
}
