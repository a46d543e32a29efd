package wire

import (
	"fmt"

	"google.golang.org/protobuf/encoding/protowire"
)

// UnknownBodyError is returned for an envelope whose body this version does not know; a later one may.
type UnknownBodyError struct {
	Number int32 // of the body's field
}

// Error gives the field's number.
func (e *UnknownBodyError) Error() string {
	return fmt.Sprintf("envelope with the unknown body %d", e.Number)
}

// absent gives the error for an envelope without a known body: an *UnknownBodyError when it has a message in a field
// that this version does not know, else ErrNoBody.
func absent(e *Envelope) error {
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
