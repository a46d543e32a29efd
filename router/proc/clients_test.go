package proc

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"

	"github.com/rcrowley/go-metrics"

	"mangolug.org/core/route"
	"mangolug.org/router/relay"
)

// TestHeadLimitOfOperator guards against a limit on heads that doesn't follow the configuration.
func TestHeadLimitOfOperator(t *testing.T) {
	p := &Process{}
	if got := p.headBytes(); got != maxHeaderBytes {
		t.Errorf("%d bytes without a configuration", got)
	}
	for operators, want := range map[int]int64{0: maxHeaderBytes, 16 << 10: 16 << 10, 200 << 10: 200 << 10, 1 << 30: headBytesLimit, -1: maxHeaderBytes} {
		p.table.Store(&route.Table{Config: route.Config{Limits: route.Limits{HeaderBytes: operators}}})
		if got := p.headBytes(); got != want {
			t.Errorf("HeaderBytes %d: %d bytes, want %d", operators, got, want)
		}
	}
}

// TestLargeHeadsOfRunningRequests guards against requests in progress whose heads take more than their memory, and against refusing those with
// ordinary heads.
func TestLargeHeadsOfRunningRequests(t *testing.T) {
	p := &Process{registry: metrics.NewRegistry()}
	p.settings.Store(&Settings{Memory: 64 << 20})
	p.relay = &relay.Relay{HeaderCodec: relay.HeaderCodec{
		ParseRequest: func(http.Header) (relay.RequestInfo, error) { return relay.RequestInfo{}, io.EOF },
		SetRequestID: func(http.Header, string) {},
	}}
	request := func(fields int) *http.Request {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		for i := range fields {
			r.Header.Set("A"+strconv.Itoa(i), "")
		}
		return r
	}
	if n := headMemory(request(20)); n > largeHeadBytes {
		t.Errorf("an ordinary head takes %d bytes", n)
	}
	p.largeHeads.Store(p.headsMemory())
	w := httptest.NewRecorder()
	p.serveCaller(w, request(3000))
	if w.Code != http.StatusServiceUnavailable || w.Header().Get("Retry-After") == "" {
		t.Errorf("status %d, header %v", w.Code, w.Header())
	}
	if got := p.largeHeads.Load(); got != p.headsMemory() {
		t.Errorf("%d bytes are counted after the refusal, want %d", got, p.headsMemory())
	}
}

// TestLogQueueIsBounded guards against a queue of log lines that takes the memory of a machine since each line holds a long path.
func TestLogQueueIsBounded(t *testing.T) {
	w := &logWriter{lines: make(chan []byte, logLines)} // nobody reads
	line := make([]byte, 64<<10)
	for range logLines {
		_, _ = w.Write(line)
	}
	if got := len(w.lines) * len(line); got > logBytes {
		t.Errorf("%d bytes are queued", got)
	}
	if got, want := w.dropped.Load(), int64(logLines-logBytes/len(line)); got != want {
		t.Errorf("%d lines dropped, want %d", got, want)
	}
	out, in := io.Pipe()
	go w.run(in)
	for range logBytes / len(line) {
		if _, err := io.ReadFull(out, line); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.queued.Load(); got != 0 {
		t.Errorf("%d bytes are counted as queued after all were written", got)
	}
}
