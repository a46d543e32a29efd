package record

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// Options are the flags, arguments and dependencies of the command.
type Options struct {
	Streams *stream.Streams                          `no-flag:"yes"`
	Get     func(url string) (*http.Response, error) `no-flag:"yes"`
	Router  string                                   `long:"router" env:"MANGOLUG_ROUTER" required:"yes" description:"admin address of the router, ip:port"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return recordRun(o) }

// NewCommand returns the command.
func NewCommand(f *shell.Factory) *shell.Command {
	return &shell.Command{
		Name:  "record",
		Short: "Fetch the trace of a router's decisions",
		Long:  "Write all steps of a router's control state since it started, one JSON line a step, to standard output. The router must run with --trace-bytes. Exit code 7 if it keeps no trace.",
		Examples: `mangoctl record --router 10.0.1.5:8082 > lahore-1.trace
mangoctl record --router 10.0.1.5:8082 | mangoctl replay -`,
		Action: &Options{Streams: f.Streams, Get: f.HTTP.Get},
	}
}

func recordRun(o *Options) error {
	if err := shell.CheckRouters([]string{o.Router}); err != nil {
		return err
	}
	answer, err := o.Get("http://" + o.Router + "/trace")
	if err != nil {
		return shell.Exitf(shell.ExitUnreachable, "router %s does not answer: %v", o.Router, err)
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound:
		return shell.Exitf(shell.ExitNotFound, "router %s keeps no trace: start it with --trace-bytes", o.Router)
	default:
		return errors.Errorf("router %s answered with status %d", o.Router, answer.StatusCode)
	}
	body := &bodyReader{reader: answer.Body}
	if err := copyLines(o.Streams.Out, body); err != nil {
		return err
	}
	if body.err != nil {
		return errors.Wrapf(body.err, "the trace of router %s is cut short", o.Router)
	}
	if answer.ContentLength < 0 && len(answer.TransferEncoding) == 0 {
		return errors.Errorf("the trace of router %s may be cut short: its answer has neither a length nor chunks", o.Router)
	}
	return nil
}

// bodyReader keeps the error that ended a response body, as the trace of a running router has no end of its own.
type bodyReader struct {
	reader io.Reader
	err    error // nil at the end of the body
}

// Read reads from the body.
func (b *bodyReader) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	if err != nil && !errors.Is(err, io.EOF) {
		b.err = err
	}
	return n, err
}

// copyLines decompresses a trace that may still be being written, and drops an incomplete last line.
func copyLines(out io.Writer, compressed io.Reader) error {
	decompressed, err := gzip.NewReader(compressed)
	if err != nil {
		return errors.Wrap(err, "unpack trace")
	}
	lines := bufio.NewReader(decompressed)
	for {
		line, err := lines.ReadBytes('\n')
		if bytes.HasSuffix(line, []byte("\n")) {
			if _, err := out.Write(line); err != nil {
				return errors.Wrap(err, "write trace")
			}
		}
		switch {
		case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return errors.Wrap(err, "unpack trace")
		}
	}
}
