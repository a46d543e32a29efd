package wire

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// UnknownBodyError is returned for an envelope whose body is of a kind that this version does not know; it may be from a later version.
type UnknownBodyError struct {
	Number int32 // field number of the body
}

// Error returns a message with the field number.
func (e *UnknownBodyError) Error() string {
	return fmt.Sprintf("envelope with the unknown body %d", e.Number)
}

// missingBody returns the error for an envelope without a known body: an *UnknownBodyError if it has a message in a field
// that this version does not know, otherwise ErrNoBody.
func missingBody(e *Envelope) error {
	for rest := e.ProtoReflect().GetUnknown(); len(rest) > 0; {
		number, kind, n := protowire.ConsumeField(rest)
		if n < 0 {
			return ErrNoBody
		}
		if kind == protowire.BytesType {
			return &UnknownBodyError{Number: int32(number)}
		}
		rest = rest[n:]
	}
	return ErrNoBody
}
