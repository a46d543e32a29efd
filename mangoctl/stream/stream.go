package stream

import (
	"bytes"
	"encoding/json"
	"io"
	"os"

	"github.com/mattn/go-isatty"
	"github.com/pkg/errors"
)

// Streams are the standard streams of one command.
type Streams struct {
	In       io.Reader
	Out      io.Writer
	ErrOut   io.Writer
	Terminal bool // Out is a terminal
}

// System returns the standard streams of this process.
func System() *Streams {
	return &Streams{
		In:       os.Stdin,
		Out:      os.Stdout,
		ErrOut:   os.Stderr,
		Terminal: isatty.IsTerminal(os.Stdout.Fd()),
	}
}

// Test returns streams over buffers, and the buffers of standard output and standard error.
func Test() (*Streams, *bytes.Buffer, *bytes.Buffer) {
	out, errOut := &bytes.Buffer{}, &bytes.Buffer{}
	return &Streams{In: &bytes.Buffer{}, Out: out, ErrOut: errOut}, out, errOut
}

// WriteJSON writes value to Out as indented JSON.
func (s *Streams) WriteJSON(value any) error {
	e := json.NewEncoder(s.Out)
	e.SetIndent("", "  ")
	return errors.Wrap(e.Encode(value), "write JSON")
}
