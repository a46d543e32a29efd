package relay

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/charmbracelet/log"

	"mangolug.org/router/back"
)

// logBuffer collects log lines of several goroutines.
type logBuffer struct {
	mutex sync.Mutex
	text  bytes.Buffer
}

// Write appends to the log.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.text.Write(p)
}

// lines returns the lines with a message.
func (b *logBuffer) lines(message string) []string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	var lines []string
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, "msg="+message+" ") {
			lines = append(lines, strings.TrimSpace(line))
		}
	}
	return lines
}

// captureLog makes the relay log to a buffer.
func (w *fixture) captureLog() *logBuffer {
	b := &logBuffer{}
	w.relay.Log = log.NewWithOptions(b, log.Options{Formatter: log.LogfmtFormatter})
	return b
}

// TestProgressInLog guards against logs that don't tell how an answer was framed, which events it had and what ended it.
func TestProgressInLog(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\nContent-Type: text/event-stream\r\n"
	chunk := func(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }
	for name, c := range map[string]struct {
		raw      string // the first server's answer
		reset    bool   // the connection is reset after it
		path     string // empty for the resumable stream
		began    string // how the first line ends; empty if it isn't compared
		failed   string
		answered string
		counters map[string]int64
	}{
		"chunked": {
			raw:   head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(wholeStream(2)) + "0\r\n\r\n",
			began: "framing=chunked firstEvent=1", answered: "framing=chunked firstEvent=1 end=lastChunk",
		},
		"length": {
			raw: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(wholeStream(2))) + wholeStream(2), answered: "framing=length firstEvent=1 end=length",
		},
		"neither": {
			raw: head + "\r\n" + wholeStream(2), answered: "framing=connection firstEvent=1 end=connection",
			counters: map[string]int64{"unframedAnswers": 1},
		},
		"cut inside an event": {
			raw:      head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(wholeStream(2)+"id: 3\nda"),
			failed:   "lastEvent=2 framing=chunked firstEvent=1 end=cut insideEvent=true",
			answered: "framing=chunked firstEvent=3 end=lastChunk resumedAfter=2",
		},
		"unframed and cut inside an event": {
			raw: head + "\r\n" + wholeStream(2) + "id: 3\nda", failed: "lastEvent=2 framing=connection firstEvent=1 end=connection insideEvent=true",
			counters: map[string]int64{"unframedAnswers": 1},
		},
		"reset": {
			raw: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(wholeStream(2)), reset: true, failed: "lastEvent=2 framing=chunked firstEvent=1 end=reset",
		},
		"malformed chunk": {
			raw: head + "Transfer-Encoding: chunked\r\n\r\n" + chunk(wholeStream(2)) + "zz\r\n", failed: "lastEvent=2 framing=chunked firstEvent=1 end=malformed",
		},
		"no answer": {failed: "lastEvent= framing=none firstEvent= end=none"},
		"plain": {
			path: "/safe/", raw: "HTTP/1.1 200 OK\r\nX-Id: id-1\r\nX-Signed: y\r\nContent-Length: 2\r\n\r\nok",
			answered: "framing=length firstEvent= end=length",
		},
	} {
		t.Run(name, func(t *testing.T) {
			first := make(chan struct{}, 1)
			first <- struct{}{}
			w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
				select {
				case <-first:
					writeRawAndEnd(rw, c.raw, c.reset)
				default:
					from := 0
					_, _ = fmt.Sscan(r.Header.Get(testLastEvent), &from) // 0 without the header
					writeEvents(rw, from+1, 5)
				}
			})
			text := w.captureLog()
			path := "/stream/"
			if c.path != "" {
				path = c.path
			}
			w.do(t, http.MethodPost, path, "x", nil)
			for message, want := range map[string]string{"began": c.began, "failed": c.failed, "answered": c.answered} {
				lines := text.lines(message)
				if want == "" {
					continue
				}
				if len(lines) == 0 || !strings.HasSuffix(lines[0], want) {
					t.Errorf("lines %q, want the first to end with %s", lines, want)
				}
			}
			for counter, want := range c.counters {
				if got := w.count(counter); got != want {
					t.Errorf("%s is %d, want %d", counter, got, want)
				}
			}
		})
	}
}

// writeRawAndEnd writes bytes to a request's connection and then closes or resets it.
func writeRawAndEnd(rw http.ResponseWriter, text string, reset bool) {
	c, buffer, err := rw.(http.Hijacker).Hijack()
	if err != nil {
		panic(err)
	}
	defer c.Close()
	writeAndFlush(buffer, text)
	if reset {
		_ = c.(*net.TCPConn).SetLinger(0) // a TCP connection supports it
	}
}

// TestStepOf guards against taking ids that repeat or go back for ids that rise, and against the reverse.
func TestStepOf(t *testing.T) {
	for name, c := range map[string]struct {
		last string
		text string
		want IDStep
	}{
		"first":                    {text: "id: 1\ndata: a\n\n"},
		"next":                     {last: "1", text: "id: 2\ndata: a\n\n"},
		"rises by more than one":   {last: "1", text: "id: 9\ndata: a\n\n"},
		"more digits":              {last: "9", text: "id: 10\ndata: a\n\n"},
		"a version before the id":  {last: "1", text: "weight-versions: 3\nid: 2\ndata: a\n\n"},
		"a comment":                {last: "1", text: ": ping\n\n"},
		"a comment with CRLF":      {last: "1", text: ": ping\r\n\r\n"},
		"no ids at all":            {text: "data: a\n\n"},
		"repeated":                 {last: "2", text: "id: 2\ndata: a\n\n", want: IDRepeated},
		"lower":                    {last: "10", text: "id: 9\ndata: a\n\n", want: IDLower},
		"missing":                  {last: "2", text: "data: a\n\n", want: IDMissing},
		"the head of an answer":    {last: "2", text: "HTTP/1.1 200 OK\r\nX-Id: id-1\r\n\r\n", want: IDMissing},
		"not a number":             {last: "2", text: "id: x\ndata: a\n\n", want: IDNotNumber},
		"not a number, first":      {text: "id: x\ndata: a\n\n", want: IDNotNumber},
		"last one is not a number": {last: "x", text: "id: 2\ndata: a\n\n", want: IDNotNumber},
	} {
		t.Run(name, func(t *testing.T) {
			event, err := back.NewEvents(strings.NewReader(c.text)).Next()
			if err != nil {
				t.Fatal(err)
			}
			if got := stepOf(c.last, event); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestEventIDsAreCounted guards against ids that go back without a counter or a field that tells of it.
func TestEventIDsAreCounted(t *testing.T) {
	w := newFixture(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		writeEvents(rw, 1, 3)
		writeEvents(rw, 3, 3)
		writeEvents(rw, 1, 2)
	})
	text := w.captureLog()
	w.do(t, http.MethodPost, "/fixed/", "x", nil)
	if repeated, lower := w.count("eventIds.repeated"), w.count("eventIds.lower"); repeated == 0 && lower == 0 {
		t.Error("no event is counted as repeated or lower")
	}
	for _, line := range append(text.lines("answered"), text.lines("failed")...) {
		if strings.Contains(line, "outOfOrder=") {
			return
		}
	}
	t.Error("no line tells that ids were out of order")
}
