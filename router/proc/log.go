package proc

import (
	"io"
	"sync/atomic"
)

// logLines is the capacity of the queue of lines: about one second of a busy router.
const logLines = 4096

// logBytes is the largest size of the queue in bytes: lines have 300 bytes on average, but a line may hold a path as long as a request's head.
const logBytes = 4 << 20

// logBatch is the approximate size of a write in bytes.
const logBatch = 16 << 10

// logWriter queues lines for a goroutine that writes them, and drops and counts lines rather than wait for a slow reader.
type logWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	queued  atomic.Int64 // bytes in the queue
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
		w.queued.Add(-int64(len(line)))
		for more := true; more && len(batch) < logBatch; {
			select {
			case line := <-w.lines:
				batch = append(batch, line...)
				w.queued.Add(-int64(len(line)))
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
	if w.queued.Add(int64(len(line))) <= logBytes {
		select {
		case w.lines <- append([]byte(nil), line...):
			return len(line), nil
		default:
		}
	}
	w.queued.Add(-int64(len(line)))
	w.dropped.Add(1)
	return len(line), nil
}
