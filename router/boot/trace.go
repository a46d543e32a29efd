package boot

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errTraceFull is returned once the trace has reached its memory limit.
var errTraceFull = errors.New("the memory for the trace is used up; raise --trace-bytes")

// traceBuffer holds a compressed trace in memory, as VMs have no disks.
type traceBuffer struct {
	mutex      sync.Mutex // guards the fields below; the control loop writes and the admin server reads
	limit      int64
	buffer     bytes.Buffer
	compressor *gzip.Writer
}

func newTraceBuffer(limit int64) *traceBuffer {
	m := &traceBuffer{limit: limit}
	m.compressor = gzip.NewWriter(&m.buffer)
	return m
}

// Write appends to the trace; it returns errTraceFull once the compressed trace exceeds the limit.
func (m *traceBuffer) Write(p []byte) (int, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if int64(m.buffer.Len()) > m.limit {
		return 0, errTraceFull
	}
	return m.compressor.Write(p)
}

// writeTo writes the compressed trace so far; it returns false if none is recorded.
func (m *traceBuffer) writeTo(w io.Writer) (bool, error) {
	if m == nil {
		return false, nil
	}
	m.mutex.Lock()
	if err := m.compressor.Flush(); err != nil {
		m.mutex.Unlock()
		return true, errors.Wrap(err, "compress trace")
	}
	recorded := bytes.Clone(m.buffer.Bytes())
	m.mutex.Unlock()
	_, err := w.Write(recorded)
	return true, errors.Wrap(err, "send trace")
}
