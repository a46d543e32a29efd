package relay

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"mangolug.org/core/pool"
	"mangolug.org/router/back"
)

const (
	// lastOfStream is the last event of the streams in these tests.
	lastOfStream = 5
	rawHead      = "HTTP/1.1 200 OK\r\n" + testID + ": id-1\r\n" + testSigned + ": y\r\n"
	// rawStreamHead and rawPlainHead begin answers whose end only the end of the connection shows.
	rawStreamHead = rawHead + "Content-Type: text/event-stream\r\n\r\n"
	rawPlainHead  = rawHead + "Content-Type: text/plain\r\n\r\n"
	plainBody     = "the whole body"
)

// step answers one attempt at a request.
type step func(w *fixture, server int, rw http.ResponseWriter, r *http.Request)

// newScript starts a relay in front of servers that answer the n-th attempt by the n-th step, and all further attempts by goOn.
func newScript(t *testing.T, steps ...step) *fixture {
	t.Helper()
	return newFixture(t, func(w *fixture, server int, rw http.ResponseWriter, r *http.Request) {
		if n := int(w.runs.Add(1)); n <= len(steps) {
			steps[n-1](w, server, rw, r)
			return
		}
		goOn(w, server, rw, r)
	})
}

// goOn answers like a sound server: with the whole body, or with the events after Last-Event-Id.
func goOn(_ *fixture, _ int, rw http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/safe/") || strings.HasPrefix(r.URL.Path, "/unsafe/") {
		rw.Header().Set(testSigned, "yes")
		_, _ = io.WriteString(rw, plainBody) // fails only if the test's caller left
		return
	}
	after := 0
	_, _ = fmt.Sscan(r.Header.Get(testLastEvent), &after) // 0 without the header
	writeEvents(rw, after+1, lastOfStream)
}

// cutAfter sends events and then aborts the answer.
func cutAfter(first, last int) step {
	return func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		writeEvents(rw, first, last)
		cutStream(rw)
	}
}

// send sends the events first to last whatever the request asks for, and ends the answer in order.
func send(first, last int) step {
	return func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { writeEvents(rw, first, last) }
}

// sendText sends the text of a stream and ends the answer in order.
func sendText(text string) step {
	return func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		writeEvents(rw, 1, 0)
		_, _ = io.WriteString(rw, text) // fails only if the test's caller left
	}
}

// checkStream requires that the caller got nothing but the beginning of a stream, and saw it as complete only if it was. The router's own
// failure is allowed as well.
func checkStream(t *testing.T, a response, whole string) {
	t.Helper()
	if a.status >= http.StatusInternalServerError {
		return
	}
	if !strings.HasPrefix(whole, a.body) {
		t.Errorf("got %q, %v, which is no beginning of %q", a.body, a.err, whole)
	} else if a.err == nil && a.body != whole {
		t.Errorf("got %q as a complete answer, want %q or a broken one", a.body, whole)
	}
}

// TestUnframedAnswerOfDeadServer guards against taking the end of a connection for the end of an answer, which a killed server's
// connections have as well.
func TestUnframedAnswerOfDeadServer(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		text   string // the first server's answer
		status int    // of a router's own failure; 0 for none
		want   string // complete answer; empty if it must not look complete
	}{
		"resumable stream between events":     {path: "/stream/", text: rawStreamHead + wholeStream(2), want: wholeStream(lastOfStream)},
		"resumable stream before any event":   {path: "/stream/", text: rawStreamHead, want: wholeStream(lastOfStream)},
		"other stream between events":         {path: "/fixed/", text: rawStreamHead + wholeStream(2)},
		"other stream before any event":       {path: "/fixed/", text: rawStreamHead, status: http.StatusBadGateway},
		"half of the body of a safe route":    {path: "/safe/", text: rawPlainHead + plainBody[:7], want: plainBody},
		"half of the body of an unsafe route": {path: "/unsafe/", text: rawPlainHead + plainBody[:7], status: http.StatusBadGateway},
		"no body of an unsafe route":          {path: "/unsafe/", text: rawPlainHead, status: http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			w := newScript(t, func(w *fixture, server int, rw http.ResponseWriter, _ *http.Request) { w.die(server, rw, c.text) })
			a := w.do(t, http.MethodPost, c.path, "x", nil)
			switch {
			case c.want != "" && (a.err != nil || a.status != http.StatusOK || a.body != c.want):
				t.Errorf("got %d %q, %v, want the whole answer", a.status, a.body, a.err)
			case c.want == "" && a.err == nil && (c.status == 0 || a.status != c.status):
				t.Errorf("got %d %q as a complete answer", a.status, a.body)
			}
			if want := int64(1); c.want == "" && w.runs.Load() != want {
				t.Errorf("%d runs, want %d", w.runs.Load(), want)
			}
		})
	}
}

// TestUnframedAnswersAreDelivered guards against losing whole answers that have neither a length nor chunks, of servers that live.
func TestUnframedAnswersAreDelivered(t *testing.T) {
	for path, c := range map[string]struct{ head, body string }{
		"/stream/": {head: rawStreamHead, body: wholeStream(lastOfStream)},
		"/fixed/":  {head: rawStreamHead, body: wholeStream(lastOfStream)},
		"/safe/":   {head: rawPlainHead, body: plainBody},
		"/unsafe/": {head: rawPlainHead, body: plainBody},
	} {
		t.Run(path, func(t *testing.T) {
			w := newScript(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { writeRaw(rw, c.head+c.body) })
			if a := w.do(t, http.MethodPost, path, "x", nil); a.err != nil || a.status != http.StatusOK || a.body != c.body {
				t.Errorf("got %d %q, %v", a.status, a.body, a.err)
			}
		})
	}
}

// TestEventIDsNeverGoBack guards against passing on events whose ids do not rise, whether a resumed run or the same run sends them.
func TestEventIDsNeverGoBack(t *testing.T) {
	for name, c := range map[string]struct {
		paths []string // empty for the resumable stream
		steps []step
	}{
		"a resumed run begins anew":           {steps: []step{cutAfter(1, 2), send(1, lastOfStream)}},
		"a resumed run repeats an event":      {steps: []step{cutAfter(1, 2), send(2, lastOfStream)}},
		"a resumed run goes back":             {steps: []step{cutAfter(1, 3), send(2, lastOfStream)}},
		"an id goes back within a run":        {paths: []string{"/stream/", "/fixed/"}, steps: []step{sendText(eventsText(1, 3) + eventsText(2, lastOfStream))}},
		"a run begins anew":                   {paths: []string{"/stream/", "/fixed/"}, steps: []step{sendText(eventsText(1, 2) + eventsText(1, lastOfStream))}},
		"an id repeats within a run":          {paths: []string{"/stream/", "/fixed/"}, steps: []step{sendText(eventsText(1, 2) + eventsText(2, lastOfStream))}},
		"the last event of a run is repeated": {paths: []string{"/stream/", "/fixed/"}, steps: []step{sendText(eventsText(1, lastOfStream) + eventsText(lastOfStream, lastOfStream))}},
	} {
		paths := c.paths
		if len(paths) == 0 {
			paths = []string{"/stream/"}
		}
		for _, path := range paths {
			t.Run(name+path, func(t *testing.T) {
				w := newScript(t, c.steps...)
				checkStream(t, w.do(t, http.MethodPost, path, "x", nil), wholeStream(lastOfStream))
			})
		}
	}
}

// TestCallersLastEventIsKept guards against answering a caller that resumes after an event with that event or an earlier one.
func TestCallersLastEventIsKept(t *testing.T) {
	for name, first := range map[string]step{
		"from the first event":    send(1, lastOfStream),
		"from the caller's event": send(3, lastOfStream),
		"from the event before":   cutAfter(2, lastOfStream),
	} {
		t.Run(name, func(t *testing.T) {
			w := newScript(t, first)
			a := w.do(t, http.MethodPost, "/stream/", "x", func(r *http.Request) { r.Header.Set(testLastEvent, "3") })
			checkStream(t, a, eventsText(4, lastOfStream))
		})
	}
}

// TestEventsWithoutIDsAreNotRepeated guards against beginning a run anew behind events that the caller already has, where no id tells
// the server after which event to resume.
func TestEventsWithoutIDsAreNotRepeated(t *testing.T) {
	const one, two, three = "data: one\n\n", "data: two\n\n", "data: three\n\n"
	for name, sent := range map[string]string{"after one event": one, "after two events": one + two} {
		t.Run(name, func(t *testing.T) {
			w := newScript(t, func(w *fixture, server int, rw http.ResponseWriter, r *http.Request) {
				sendText(sent)(w, server, rw, r)
				rw.(http.Flusher).Flush()
				cutStream(rw)
			}, sendText(one+two+three))
			checkStream(t, w.do(t, http.MethodPost, "/stream/", "x", nil), one+two+three)
		})
	}
}

// TestEventsWithoutIDAmongOthers guards against passing on bytes that are no part of a stream, such as a second answer within an answer
// without a length: all other events have ids.
func TestEventsWithoutIDAmongOthers(t *testing.T) {
	for name, c := range map[string]struct{ begin, stray string }{
		"an event":                         {begin: wholeStream(2), stray: "data: stray\n\n" + eventsText(3, lastOfStream)},
		"head of a second answer":          {begin: wholeStream(lastOfStream), stray: rawStreamHead},
		"a second answer":                  {begin: wholeStream(lastOfStream), stray: rawStreamHead + wholeStream(lastOfStream)},
		"a second answer with rising ids":  {begin: wholeStream(lastOfStream), stray: rawStreamHead + eventsText(lastOfStream+1, lastOfStream+2)},
		"a second answer inside an event":  {begin: wholeStream(2) + "id: 3\ndata: ev", stray: rawStreamHead + wholeStream(lastOfStream)},
		"a second answer after two events": {begin: wholeStream(2), stray: rawStreamHead + wholeStream(lastOfStream)},
	} {
		for _, path := range []string{"/stream/", "/fixed/"} {
			t.Run(name+path, func(t *testing.T) {
				w := newScript(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
					writeRaw(rw, rawStreamHead+c.begin+c.stray)
				})
				checkStream(t, w.do(t, http.MethodPost, path, "x", nil), wholeStream(lastOfStream))
			})
		}
	}
}

// plainAnswer answers with a signed body and without events.
func plainAnswer(status int, contentType, body string) step {
	return func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(testSigned, "yes")
		if contentType != "" {
			rw.Header().Set("Content-Type", contentType)
		}
		rw.WriteHeader(status)
		_, _ = io.WriteString(rw, body) // fails only if the test's caller left or the status allows no body
	}
}

// TestOtherAnswersAreNotWrittenBehindEvents guards against another kind of answer to the resumed run that is written behind the events of
// a stream and ends it as if it were complete.
func TestOtherAnswersAreNotWrittenBehindEvents(t *testing.T) {
	rest := eventsText(3, lastOfStream)
	for name, answer := range map[string]step{
		"404":                     plainAnswer(http.StatusNotFound, "text/plain", "no such stream"),
		"400":                     plainAnswer(http.StatusBadRequest, "text/event-stream", rest),
		"404 without a body":      plainAnswer(http.StatusNotFound, "", ""),
		"204":                     plainAnswer(http.StatusNoContent, "", ""),
		"200 that is no stream":   plainAnswer(http.StatusOK, "application/json", "{}"),
		"events as another type":  plainAnswer(http.StatusOK, "text/plain", rest),
		"stream of another type":  plainAnswer(http.StatusOK, "text/event-streams", rest),
		"redirect":                plainAnswer(http.StatusFound, "text/plain", "elsewhere"),
		"206 with further events": plainAnswer(http.StatusPartialContent, "text/event-stream", "id: 3\ndata: other\n\n"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newScript(t, cutAfter(1, 2), answer)
			a := w.do(t, http.MethodPost, "/stream/", "x", nil)
			if a.status != http.StatusOK || !strings.HasPrefix(a.body, wholeStream(2)) {
				t.Fatalf("got %d %q, %v", a.status, a.body, a.err)
			}
			if whole := a.err == nil && a.body == wholeStream(lastOfStream) && w.runs.Load() > 2; !whole && (a.err == nil || a.body != wholeStream(2)) {
				t.Errorf("got %q, %v from %d servers, want the stream from elsewhere or a broken one", a.body, a.err, w.runs.Load())
			}
		})
	}
}

// TestFailuresBehindEventsBreakTheStream guards against a failure of the resumed run that is written behind the events of a stream.
func TestFailuresBehindEventsBreakTheStream(t *testing.T) {
	for name, answer := range map[string]step{
		"own failure":      plainAnswer(http.StatusInternalServerError, "text/plain", "own"),
		"not run":          func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { shed(rw) },
		"no answer":        func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { closeConnection(rw) },
		"unsigned success": func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) },
	} {
		t.Run(name, func(t *testing.T) {
			w := newScript(t, cutAfter(1, 2), answer, answer, answer)
			if a := w.do(t, http.MethodPost, "/stream/", "x", nil); a.err == nil || a.body != wholeStream(2) {
				t.Errorf("got %q, %v, want two events and a broken answer", a.body, a.err)
			}
		})
	}
}

// TestForeignPromises guards against believing an answer to another request that this one did not run.
func TestForeignPromises(t *testing.T) {
	for name, status := range map[string]int{"not run": http.StatusServiceUnavailable, "another server": http.StatusMisdirectedRequest} {
		t.Run(name, func(t *testing.T) {
			w := newScript(t, func(_ *fixture, _ int, rw http.ResponseWriter, _ *http.Request) {
				rw.Header().Set(testID, "id-2")
				rw.Header().Set(testNotRun, "1")
				rw.WriteHeader(status)
			})
			if a := w.do(t, http.MethodPost, "/unsafe/", "x", nil); a.status != http.StatusBadGateway || a.err != nil {
				t.Errorf("got %d %q, %v, want 502", a.status, a.body, a.err)
			}
			if n := w.runs.Load(); n != 1 {
				t.Errorf("sent to %d servers, want 1", n)
			}
		})
	}
}

// TestLateSecondRefusal guards against a late second copy of a server's refusal, read on a kept connection as the refusal of the server
// that took over its address: the request id is the same, and the second server runs the request.
func TestLateSecondRefusal(t *testing.T) {
	const refusal = "HTTP/1.1 421 Misdirected Request\r\n" + testID + ": id-1\r\nContent-Length: 0\r\n\r\n"
	w := newScript(t, func(w *fixture, server int, rw http.ResponseWriter, _ *http.Request) {
		w.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
			for i, address := range w.addresses { // only the server that takes over the address remains
				p.RemoveServer(now, fmt.Sprint("s", i))
				if i == server {
					p.SetServer(now, pool.Server{ID: "next", Service: "desk", Address: address, DataCentre: "east", Slots: 8})
				}
			}
		})
		c, buffer, err := rw.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		defer c.Close()
		writeAndFlush(buffer, refusal)
		second := make([]byte, 1)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second)) // a TCP connection supports deadlines
		if _, err := c.Read(second); err != nil {
			return // the connection is not used again
		}
		w.runs.Add(1) // of the second request on this connection
		w.relay.Gate.With(func(now time.Duration, p *pool.Pool) {
			p.SetServer(now, pool.Server{ID: "other", Service: "desk", Address: w.addresses[(server+1)%len(w.addresses)], DataCentre: "east", Slots: 8})
		})
		writeAndFlush(buffer, refusal)
	})
	w.relay.Client = &back.Client{Settings: back.Settings{NonIdempotentIdle: time.Minute}} // as a router's process sets it
	t.Cleanup(w.relay.Client.Close)
	a := w.do(t, http.MethodPost, "/unsafe/", "x", nil)
	if n := w.runs.Load(); n > 2 {
		t.Errorf("got %d %q, %v, and the request was sent to another server although one runs it", a.status, a.body, a.err)
	}
	if a.status == http.StatusServiceUnavailable && w.runs.Load() > 1 {
		t.Error("got a promise that the request did not run")
	}
}

// TestBrokenAnswerToOldCaller guards against a broken answer that looks complete to a caller without chunked answers, to which the end
// of the connection is the end of the answer: the connection must be reset.
func TestBrokenAnswerToOldCaller(t *testing.T) {
	w := newScript(t, cutAfter(1, 2))
	text, err := w.readAsOldCaller(t)
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read %q, %v, want a reset connection", text, err)
	}
}

// TestWholeAnswerToOldCaller guards against resetting the connection after a whole answer to such a caller.
func TestWholeAnswerToOldCaller(t *testing.T) {
	w := newScript(t)
	if text, err := w.readAsOldCaller(t); err != nil || !strings.HasSuffix(text, "\r\n\r\n"+wholeStream(lastOfStream)) {
		t.Errorf("read %q, %v", text, err)
	}
}

// readAsOldCaller sends a request for a stream that can't be resumed by HTTP/1.0 and returns what it reads until the connection ends.
func (w *fixture) readAsOldCaller(t *testing.T) (string, error) {
	t.Helper()
	c := w.dial(t)
	_ = c.SetDeadline(time.Now().Add(2 * time.Second)) // a TCP connection supports deadlines
	if _, err := io.WriteString(c, "POST /fixed/ HTTP/1.0\r\nHost: h\r\n"+testID+": id-1\r\nContent-Length: 1\r\n\r\nx"); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(c)
	return string(text), err
}

// TestSoundStreamsAreDelivered guards against breaking streams that are unusual but in order.
func TestSoundStreamsAreDelivered(t *testing.T) {
	const gaps = "id: 1\ndata: a\n\nid: 4\ndata: b\n\nid: 9\ndata: c\n\nid: 10\ndata: d\n\n"
	for name, c := range map[string]struct {
		text      string
		lastEvent string // that the caller sends
	}{
		"ids rise by more than one":    {text: gaps},
		"comments between events":      {text: ": hello\n\nid: 1\ndata: a\n\n: ping\n\n: ping\r\n\r\nid: 2\ndata: b\n\n: bye\n\n"},
		"comments inside events":       {text: "id: 1\n: note\ndata: a\n\n: note\nid: 2\ndata: b\n\n"},
		"the id after the data":        {text: "data: a\nid: 1\n\ndata: b\nid: 2\n\n"},
		"no space after the colon":     {text: "id:1\ndata:a\n\nid:2\ndata:b\n\n"},
		"a version before the id":      {text: "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"},
		"no ids at all":                {text: "data: a\n\ndata: b\n\ndata: b\n\n"},
		"resumed by the caller":        {text: eventsText(13, 15), lastEvent: "12"},
		"resumed after the last event": {text: "", lastEvent: "12"},
		"no events":                    {text: ""},
		"empty lines between events":   {text: "id: 1\ndata: a\n\n\n\nid: 2\ndata: b\n\n"},
		"an event without data":        {text: "id: 1\ndata: a\n\nid: 2\n\nid: 3\ndata: c\n\n"},
	} {
		for _, path := range []string{"/stream/", "/fixed/"} {
			t.Run(name+path, func(t *testing.T) {
				w := newScript(t, sendText(c.text))
				a := w.do(t, http.MethodPost, path, "x", func(r *http.Request) {
					if c.lastEvent != "" {
						r.Header.Set(testLastEvent, c.lastEvent)
					}
				})
				if a.err != nil || a.status != http.StatusOK || a.body != c.text {
					t.Errorf("got %d %q, %v, want %q", a.status, a.body, a.err, c.text)
				}
				if n := w.runs.Load(); n != 1 {
					t.Errorf("sent to %d servers, want 1", n)
				}
			})
		}
	}
}
