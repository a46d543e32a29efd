package peers

import (
	"google.golang.org/protobuf/proto"

	"mangolug.org/router/wire"
)

// bodyKind returns the kind of an envelope's body, as used in the names of counters.
func bodyKind(e *wire.Envelope) string {
	switch e.GetBody().(type) {
	case *wire.Envelope_Heartbeat:
		return "heartbeat"
	case *wire.Envelope_Demand:
		return "demand"
	case *wire.Envelope_Grants:
		return "grants"
	case *wire.Envelope_KeyOpen, *wire.Envelope_KeyAnswer, *wire.Envelope_KeyClose, *wire.Envelope_KeyHandover,
		*wire.Envelope_KeyRecall, *wire.Envelope_KeyCopy:
		return "key"
	case *wire.Envelope_ConfigAsk, *wire.Envelope_ConfigText:
		return "config"
	case *wire.Envelope_ListText:
		return "list"
	}
	return "other"
}

// countSent counts a sent envelope and its size in bytes before framing, by the kind of its body.
func (l *Links) countSent(e *wire.Envelope) {
	kind := bodyKind(e)
	l.counter("sentMessages." + kind).Inc(1)
	l.counter("sentBytes." + kind).Inc(int64(proto.Size(e)))
}
