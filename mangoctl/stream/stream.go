package stream

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/pkg/errors"
)

// Streams are the streams of one command.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	ErrOut   io.Writer
	Terminal bool // Out is a terminal
}

// System gives the streams of this process.
func System() *Streams {
	return &Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		ErrOut:   os.Stderr,
		Terminal: isatty.IsTerminal(os.Stdout.Fd()),
	}
}

// Test gives streams over buffers, with the buffers for output and talk.
func Test() (*Streams, *bytes.Buffer, *bytes.Buffer) {
	out, talk := &bytes.Buffer{}, &bytes.Buffer{}
	return &Streams{In: &bytes.Buffer{}, Out: out, ErrOut: talk}, out, talk
}

// WriteJSON writes a value to Out as indented JSON.
func (s *Streams) WriteJSON(value any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(value), "write JSON")
}
