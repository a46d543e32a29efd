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
	w := &News{Revision: n.Position.Revision, Era: n.Position.Era, Age: toMillis(n.Age), Read: n.Read, From: n.From.Revision, To: n.To.Revision}
	for _, c := range n.Changes {
		w.Changes = append(w.Changes, &Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	if p := n.Part; p != nil {
		w.Part = &Part{Key: p.Key, Revision: p.Revision, Offset: uint32(p.Offset), Size: uint32(p.Size), Bytes: p.Bytes}
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
	n := &digest.Update{Position: digest.Position{Era: w.Era, Revision: w.Revision}, Age: time.Duration(w.Age) * time.Millisecond, Read: w.Read}
	if w.To > 0 || w.Part != nil {
		n.From = n.Position.At(w.From)
	}
	if w.To > 0 {
		n.To = n.Position.At(w.To)
	}
	for _, c := range w.Changes {
		n.Changes = append(n.Changes, digest.Change{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted})
	}
	if p := w.Part; p != nil {
		n.Part = &digest.Part{Key: p.Key, Revision: p.Revision, Offset: int(p.Offset), Size: int(p.Size), Bytes: p.Bytes}
	}
	return n
}

func encodeWant(n *digest.Want) *Want {
	if n == nil {
		return nil
	}
	return &Want{After: n.After.Revision, Era: n.After.Era, Offset: uint32(n.Offset)}
}

func decodeWant(w *Want) *digest.Want {
	if w == nil {
		return nil
	}
	return &digest.Want{After: digest.Position{Era: w.Era, Revision: w.After}, Offset: int(w.Offset)}
}
