package boot

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"github.com/pkg/errors"
)

// errTraceFull ends a trace that has used its memory.
var errTraceFull = errors.New("the memory for the trace is used up; raise --trace-bytes")

// memory keeps a trace compressed, as VMs have no disks.
type memory struct {
	mutex  sync.Mutex // guards all below; the loop writes and operators read
	limit  int64
	buffer bytes.Buffer
	packed *gzip.Writer
}

func newMemory(limit int64) *memory {
	m := &memory{limit: limit}
	m.packed = gzip.NewWriter(&m.buffer)
	return m
}

// Write adds to the trace until the memory is used up.
func (m *memory) Write(p []byte) (int, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if int64(m.buffer.Len()) > m.limit {
		return 0, errTraceFull
	}
	return m.packed.Write(p)
}

// dump writes the trace so far, compressed; it says false when none is kept.
func (m *memory) dump(w io.Writer) (bool, error) {
	if m == nil {
		return false, nil
	}
	m.mutex.Lock()
	if err := m.packed.Flush(); err != nil {
		m.mutex.Unlock()
		return true, errors.Wrap(err, "compress trace")
	}
	kept := bytes.Clone(m.buffer.Bytes())
	m.mutex.Unlock()
	_, err := w.Write(kept)
	return true, errors.Wrap(err, "send trace")
}
