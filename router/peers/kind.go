package peers

import (
	"google.golang.org/protobuf/proto"

	"mangolug.org/router/wire"
)

// kindOf names an envelope's body for the counters.
func kindOf(e *wire.Envelope) string {
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

// count counts an envelope that is sent, and its bytes before framing, by the kind of its body.
func (l *Links) count(e *wire.Envelope) {
	kind := kindOf(e)
	l.counter("sentMessages." + kind).Inc(1)
	l.counter("sentBytes." + kind).Inc(int64(proto.Size(e)))
}
