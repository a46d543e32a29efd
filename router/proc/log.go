package proc

import (
	"io"
	"sync/atomic"
)

// logLines is how many lines may wait to be written: about a second of a busy router.
const logLines = 4096

// logBatch is about how many bytes are written at once.
const logBatch = 16 << 10

// logWriter hands lines to a goroutine, and drops and counts them rather than wait for a slow reader.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// newLogWriter starts writing to out.
func newLogWriter(out io.Writer) *logWriter {
	w := &logWriter{lines: make(chan []byte, logLines)}
	go w.run(out)
	return w
}

func (w *logWriter) run(out io.Writer) {
	var batch []byte
	for line := range w.lines {
		batch = append(batch[:0], line...)
		for more := true; more && len(batch) < logBatch; {
			select {
			case line := <-w.lines:
				batch = append(batch, line...)
			default:
				more = false
			}
		}
		if _, err := out.Write(batch); err != nil {
			w.dropped.Add(1) // there is nowhere left to tell of it but the counter
		}
	}
}

// Write takes one line and never waits.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
