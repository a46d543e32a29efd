package proc

import (
	"io"
	"sync/atomic"
)

// logLines is the capacity of the queue of lines: about one second of a busy router.
const logLines = 4096

// logBatch is the approximate size of a write in bytes.
const logBatch = 16 << 10

// logWriter queues lines for a goroutine that writes them, and drops and counts lines rather than wait for a slow reader.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
}

// newLogWriter returns a logWriter and starts its goroutine, which writes to out.
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
			w.dropped.Add(1) // the counter is the only place left to report it
		}
	}
}

// Write queues a copy of one line and never blocks.
func (w *logWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
