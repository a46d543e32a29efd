package back

import (
	"errors"
	"io"
	"syscall"
	"testing"
	"time"
)

// TestUpload guards against a request that counts as written before it is, so that a part of its answer passes as whole (MIXED), and against one that never
// does, so that whole answers are refused.
func TestUpload(t *testing.T) {
	for name, d := range map[string]struct {
		length int64
		writes []string
		err    error // of the last write
		whole  bool
	}{
		"one write":               {3, []string{"POST / HTTP/1.1\r\nA: b\r\n\r\nabc"}, nil, true},
		"head and body":           {3, []string{"POST / HTTP/1.1\r\n\r\n", "abc"}, nil, true},
		"cut in the head's end":   {3, []string{"POST / HTTP/1.1\r\n", "\r", "\nabc"}, nil, true},
		"byte by byte":            {2, []string{"P", "\r", "\n", "\r", "\n", "a", "b"}, nil, true},
		"no body":                 {0, []string{"GET / HTTP/1.1\r\n\r\n"}, nil, true},
		"an end in the body":      {8, []string{"POST / HTTP/1.1\r\n\r\n", "\r\n\r\n"}, nil, false},
		"nothing yet":             {0, nil, nil, false},
		"a part of the head":      {0, []string{"GET / HTTP/1.1\r\n"}, nil, false},
		"a part of the body":      {3, []string{"POST / HTTP/1.1\r\n\r\nab"}, nil, false},
		"a failed write":          {3, []string{"POST / HTTP/1.1\r\n\r\nabc"}, syscall.ECONNRESET, false},
		"a body without a length": {-1, []string{"POST / HTTP/1.1\r\n\r\nabc"}, nil, false},
	} {
		t.Run(name, func(t *testing.T) {
			var u upload
			u.begin(7) // of an earlier request
			u.begin(d.length)
			for i, text := range d.writes {
				var err error
				if i == len(d.writes)-1 {
					err = d.err
				}
				u.writes()
				u.wrote([]byte(text), err)
			}
			err := u.check()
			if (err == nil) != d.whole || err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("error %v, want whole: %t", err, d.whole)
			}
		})
	}
}

// TestUploadWaitsForItsWrite guards against a whole answer that is refused since it was read before the goroutine ran on that had written the request.
func TestUploadWaitsForItsWrite(t *testing.T) {
	var u upload
	u.begin(0)
	u.writes()
	time.AfterFunc(writeEndTimeout/4, func() { u.wrote([]byte("GET / HTTP/1.1\r\n\r\n"), nil) })
	if err := u.check(); err != nil {
		t.Error(err)
	}
	u.begin(0)
	u.writes()
	if err := u.check(); err == nil {
		t.Error("a write that doesn't end counts as whole")
	}
	if err := new(upload).check(); err != nil {
		t.Errorf("a connection without a request: %v", err)
	}
}
