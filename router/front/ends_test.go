package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
)

const (
	created   = "HTTP/1.1 201 Created\r\nX-Attempt-Id: ID\r\n"
	upgrade   = "HTTP/1.1 101 Switching Protocols\r\nX-Attempt-Id: ID\r\nConnection: Upgrade\r\nUpgrade: oak\r\n\r\n"
	completed = "completion of a text"
)

// TestEndOfConnectionIsNoEnd guards against answers that count as complete because their connection ended in order, as the
// kernel ends that of a killed process, and against recording them for an idempotency key.
func TestEndOfConnectionIsNoEnd(t *testing.T) {
	const (
		get   = "GET /swatch-desk/colours"
		once  = "POST /swatch-desk/dispatches"
		model = "POST /v1/chat/completions"
	)
	key := http.Header{"Idempotency-Key": {idempotencyKey}}
	tests := map[string]struct {
		answer string
		call   string
		header http.Header
		want   string
		closes []string
	}{
		"plain, no length, HEAD":          {answer: head + "\r\n", call: "HEAD /swatch-desk/colours"},
		"plain, no length, 204":           {answer: "HTTP/1.1 204 None\r\nX-Attempt-Id: ID\r\n\r\n", call: get},
		"plain, no length":                {answer: head + "\r\nwal", call: get, want: "streamBroken unknown"},
		"plain, no length, no body":       {answer: head + "\r\n", call: get, want: "streamBroken unknown"},
		"plain, HTTP 1.0":                 {answer: "HTTP/1.0 200 OK\r\nX-Attempt-Id: ID\r\n\r\nwal", call: get, want: "streamBroken unknown"},
		"plain, stream":                   {answer: events + textEvent, call: get, want: "streamBroken unknown"},
		"plain, last chunk missing":       {answer: head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, "wal"), call: get, want: "streamBroken unknown"},
		"plain, protocol switch":          {answer: upgrade + "wal", call: get, want: "streamBroken unknown"},
		"once, no length":                 {answer: created + "\r\nwal", call: once, want: "outcomeUnknown unknown"},
		"keyed, no length":                {answer: created + "\r\nwal", call: once, header: key, want: "outcomeUnknown unknown", closes: []string{"unknown 0 "}},
		"keyed, last chunk missing":       {answer: created + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, "wal"), call: once, header: key, want: "outcomeUnknown unknown", closes: []string{"unknown 0 "}},
		"keyed, protocol switch":          {answer: upgrade + "wal", call: once, header: key, want: "outcomeUnknown unknown", closes: []string{"unknown 0 "}},
		"keyed, long, length, cut":        {answer: created + "Content-Length: 100\r\n\r\n" + strings.Repeat("x", 80), call: once, header: key, want: "BROKEN", closes: []string{"unknown 0 "}},
		"keyed, long, last chunk missing": {answer: created + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, strings.Repeat("x", 80)), call: once, header: key, want: "BROKEN", closes: []string{"unknown 0 "}},
		"model, no length":                {answer: head + "Content-Type: text/plain\r\n\r\n" + completed, call: model, want: "streamBroken unknown"},
		"model, last chunk missing":       {answer: head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, completed), call: model, want: "streamBroken unknown"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answer)
			b.front.Settings.BufferedAnswerBytes = 50
			b.start(t)
			method, path, _ := strings.Cut(tt.call, " ")
			body := ""
			if method == "POST" {
				body = modelBody
			}
			answer, text := b.do(t, method, path, body, tt.header)
			if got := refusalText(t, answer, text); got != tt.want && !(tt.want == "BROKEN" && strings.HasSuffix(got, tt.want)) {
				t.Errorf("status %d, got %q, want %q", answer.StatusCode, got, tt.want)
			}
			b.server.Close()
			if d := cmp.Diff(tt.closes, b.closes); d != "" {
				t.Errorf("keys closed: %s", d)
			}
		})
	}
}

// TestStreamEndsAtItsMarker guards against rejecting whole streams that have no length, since their end marker shows that
// they are whole, and against passing on anything behind the marker.
func TestStreamEndsAtItsMarker(t *testing.T) {
	const whole = textEvent + usageEvent + doneEvent
	tests := map[string]struct {
		answers []string
		ends    []string
	}{
		"chunks, events behind the marker":                {[]string{sse + chunks(true, whole, textEvent+doneEvent)}, []string{"1 completed"}},
		"chunks, events behind the marker in one piece":   {[]string{sse + chunks(true, whole+textEvent+doneEvent)}, []string{"1 completed"}},
		"chunks, none behind the marker":                  {[]string{sse + chunks(false, whole)}, []string{"1 completed"}},
		"chunks, left open":                               {[]string{sse + chunks(false, whole) + hang}, []string{"1 completed"}},
		"no length":                                       {[]string{events + whole}, []string{"1 completed"}},
		"no length, left open":                            {[]string{events + whole + hang}, []string{"1 completed"}},
		"no length, a second answer":                      {[]string{events + whole + events + textEvent + doneEvent}, []string{"1 completed"}},
		"no length, cut between events":                   {[]string{events + textEvent, sse + chunks(true, whole)}, []string{"1 failed", "2 completed"}},
		"no length, cut inside an event":                  {[]string{events + textEvent + usageEvent[:9], events + whole}, []string{"1 failed", "2 completed"}},
		"no length, nothing":                              {[]string{events, sse + chunks(true, whole)}, []string{"1 failed", "2 completed"}},
		"no length, cut inside the marker":                {[]string{events + textEvent + usageEvent + doneEvent[:9], sse + chunks(true, whole)}, []string{"1 failed", "2 completed"}},
		"HTTP 1.0":                                        {[]string{strings.Replace(events, "HTTP/1.1", "HTTP/1.0", 1) + whole}, []string{"1 completed"}},
		"another attempt's, no length":                    {[]string{strings.Replace(events, "ID", "a0", 1) + whole, sse + chunks(true, whole)}, []string{"1 failed", "2 completed"}},
		"no length, a second answer inside an event":      {[]string{events + textEvent + usageEvent[:len(usageEvent)-1] + events + whole, sse + chunks(true, whole)}, []string{"1 failed", "2 completed"}},
		"no length, a second answer inside a comment":     {[]string{events + textEvent + ": a" + events + whole, sse + chunks(true, whole)}, []string{"1 failed", "2 completed"}},
		"no length, a second answer behind a part of one": {[]string{events + textEvent + events + textEvent + doneEvent, sse + chunks(true, whole)}, []string{"1 failed", "2 completed"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answers...)
			b.start(t)
			answer, text := b.do(t, "POST", "/v1/chat/completions", modelBody, nil)
			if answer.StatusCode != http.StatusOK || text != whole {
				t.Errorf("status %d, got %q, want %q", answer.StatusCode, text, whole)
			}
			for range tt.ends {
				wait(t, "the end of a grant", b.ended)
			}
			b.server.Close()
			if d := cmp.Diff(tt.ends, b.ends); d != "" {
				t.Errorf("grants ended: %s", d)
			}
		})
	}
}

// TestCutAnswerNeverEndsInOrder guards against answers cut by the router that end as complete ones do: to callers of HTTP/1.0,
// whose answers without a length end with the connection, and to callers that closed their direction of the connection.
func TestCutAnswerNeverEndsInOrder(t *testing.T) {
	long := strings.Repeat("x", 100)
	tests := map[string]struct {
		answer    string
		call      string
		proto     string
		halfClose bool
	}{
		"HTTP 1.0, chunks, cut":    {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, long), "GET /swatch-desk/colours", "HTTP/1.0", false},
		"HTTP 1.0, length, cut":    {head + "Content-Length: 200\r\n\r\n" + long, "GET /swatch-desk/colours", "HTTP/1.0", false},
		"HTTP 1.1, chunks, cut":    {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, long), "GET /swatch-desk/colours", "HTTP/1.1", false},
		"HTTP 1.0, error event":    {sse + chunks(false, textEvent), "POST /v1/chat/completions", "HTTP/1.0", false},
		"HTTP 1.1, error event":    {sse + chunks(false, textEvent), "POST /v1/chat/completions", "HTTP/1.1", false},
		"HTTP 1.0, half-closed":    {sse + chunks(false, textEvent) + hang, "POST /v1/chat/completions", "HTTP/1.0", true},
		"HTTP 1.1, half-closed":    {sse + chunks(false, textEvent) + hang, "POST /v1/chat/completions", "HTTP/1.1", true},
		"HTTP 1.1, long, caller":   {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, long) + hang, "GET /swatch-desk/colours", "HTTP/1.1", true},
		"HTTP 1.0, long, caller":   {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, long) + hang, "GET /swatch-desk/colours", "HTTP/1.0", true},
		"HTTP 1.0, length, caller": {head + "Content-Length: 200\r\n\r\n" + long + hang, "GET /swatch-desk/colours", "HTTP/1.0", true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answer)
			b.front.Settings.BufferedAnswerBytes = 50
			b.start(t)
			body := ""
			if strings.HasPrefix(tt.call, "POST") {
				body = modelBody
			}
			c := b.dial(t, "%s %s\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", tt.call, tt.proto, testKey, len(body), body)
			first := make([]byte, 1)
			if _, err := io.ReadFull(c, first); err != nil {
				t.Fatal(err)
			}
			if tt.halfClose {
				if err := c.(*net.TCPConn).CloseWrite(); err != nil {
					t.Fatal(err)
				}
			}
			rest, err := io.ReadAll(c)
			if strings.HasSuffix(name, "error event") && !strings.Contains(string(rest), "\"reason\":\"streamBroken\"") {
				t.Errorf("got %q without the error event", rest)
			}
			header, text, _ := strings.Cut(string(first)+string(rest), "\r\n\r\n")
			switch {
			case !strings.HasPrefix(header, "HTTP/1.") || !strings.Contains(header, "200 OK"):
				t.Errorf("header %q, want the header of the answer", header)
			case strings.Contains(header, "Content-Length: 200"):
				if len(text) >= 200 {
					t.Errorf("got %d bytes of a cut answer of 200", len(text))
				}
			case strings.Contains(header, "Transfer-Encoding: chunked"):
				if strings.HasSuffix(text, "0\r\n\r\n") {
					t.Errorf("the cut answer ended with the last chunk: %q", text)
				}
			case err == nil:
				t.Errorf("the connection with the cut answer %q ended in order", text)
			}
		})
	}
}

// TestEncodedAnswerIsNotReplayedAsPlain guards against recording an encoded answer for an idempotency key: the record has no
// Content-Encoding, so that the caller of a replay would take the encoded bytes for the text.
func TestEncodedAnswerIsNotReplayedAsPlain(t *testing.T) {
	tests := map[string]struct {
		key    string
		answer string
		sent   string         // Accept-Encoding as the server gets it
		want   []fleet.Answer // records
	}{
		"keyed, encoded against the request": {idempotencyKey, head + "Content-Encoding: gzip\r\nContent-Length: 6\r\n\r\nwalnut", "", []fleet.Answer{{Status: 200, Truncated: true}}},
		"keyed, not encoded":                 {idempotencyKey, plainBody, "", []fleet.Answer{{Status: 200, ContentType: "text/plain", Body: []byte("walnut")}}},
		"without a key":                      {"", plainBody, "gzip", nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answer)
			var got []fleet.Answer
			b.front.CloseKey = func(c fleet.KeyClose) { got = append(got, c.Answer) }
			b.start(t)
			header := http.Header{"Accept-Encoding": {"gzip"}}
			if tt.key != "" {
				header["Idempotency-Key"] = []string{tt.key}
			}
			answer, text := b.do(t, "POST", "/swatch-desk/dispatches", "x", header)
			if answer.StatusCode != http.StatusOK || text != "walnut" {
				t.Errorf("status %d, got %q", answer.StatusCode, text)
			}
			b.server.Close()
			if sent := b.backend.headers[0].Get("Accept-Encoding"); sent != tt.sent {
				t.Errorf("Accept-Encoding %q reached the server, want %q", sent, tt.sent)
			}
			if d := cmp.Diff(tt.want, got); d != "" {
				t.Errorf("recorded: %s", d)
			}
		})
	}
}

// TestHeadCutAtEachByte guards against an answer that looks whole, or a promise that nothing ran, though the server stopped in the middle of its head.
func TestHeadCutAtEachByte(t *testing.T) {
	for name, d := range map[string]struct{ call, head string }{
		"plain":  {"GET /swatch-desk/colours", head + "Content-Length: 6\r\n\r\n"},
		"once":   {"POST /swatch-desk/dispatches", created + "Content-Length: 6\r\n\r\n"},
		"model":  {"POST /v1/chat/completions", head + "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\n"},
		"stream": {"POST /v1/chat/completions", sse},
	} {
		t.Run(name, func(t *testing.T) {
			for cut := range len(d.head) + 1 {
				b := newBench(t, d.head[:cut])
				b.start(t)
				method, path, _ := strings.Cut(d.call, " ")
				body := ""
				if method == "POST" {
					body = modelBody
				}
				answer, text := b.do(t, method, path, body, nil)
				whole := answer.StatusCode < 400 && !strings.HasSuffix(text, "BROKEN")
				if whole || strings.Contains(text, `"notRun":true`) {
					t.Errorf("cut at byte %d: got %d %q", cut, answer.StatusCode, text)
				}
				b.server.Close()
			}
		})
	}
}
