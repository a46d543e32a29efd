package front

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"mangolug.org/core/fleet"
	"mangolug.org/core/keys"
	"mangolug.org/core/rule"
)

const (
	head           = "HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
	plainBody      = head + "Content-Type: text/plain\r\nContent-Length: 6\r\n\r\nwalnut"
	cutBody        = head + "Content-Length: 6\r\n\r\nwal"
	foreignBody    = "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 3\r\n\r\noak"
	overload       = "HTTP/1.1 429 Slow\r\nX-Attempt-Id: ID\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
	failed         = "HTTP/1.1 500 Broken\r\nX-Attempt-Id: ID\r\nContent-Length: 3\r\n\r\nbad"
	events         = head + "Content-Type: text/event-stream\r\n\r\n"
	sse            = head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	textEvent      = "data: {\"text\":\"a\"}\n\n"
	usageEvent     = "data: {\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":7}}\n\n"
	doneEvent      = "data: [DONE]\n\n"
	modelBody      = `{"model":"stain-llm","stream":true,"prompt":"walnut on ash"}`
	idempotencyKey = "01890000-0000-7000-8000-000000000001"
)

// chunks encodes text in chunked coding; without end the coding is truncated.
func chunks(end bool, parts ...string) string {
	var s strings.Builder
	for _, p := range parts {
		fmt.Fprintf(&s, "%x\r\n%s\r\n", len(p), p)
	}
	if end {
		s.WriteString("0\r\n\r\n")
	}
	return s.String()
}

// refusalText returns the reason and outcome of a refusal, and any other answer unchanged. It also checks the request ID and Retry-After.
func refusalText(t *testing.T, answer *http.Response, text string) string {
	t.Helper()
	var b refusalBody
	if err := json.Unmarshal([]byte(text), &b); err != nil {
		return text
	}
	if b.RequestID != answer.Header.Get("X-Request-Id") || b.RequestID == "" {
		t.Errorf("request id %q in the body, %q in the header", b.RequestID, answer.Header.Get("X-Request-Id"))
	}
	if (b.RetryAfter > 0) != (answer.Header.Get("Retry-After") != "") {
		t.Errorf("retryAfter %v, header %q", b.RetryAfter, answer.Header.Get("Retry-After"))
	}
	if b.NotRun {
		return b.Reason + " notRun"
	}
	return b.Reason + " " + b.Outcome
}

func TestAnswers(t *testing.T) {
	const (
		get  = "GET /swatch-desk/colours"
		once = "POST /swatch-desk/dispatches"
		chat = "POST /v1/chat/completions"
	)
	key := http.Header{"Idempotency-Key": {idempotencyKey}}
	soon := http.Header{"Idempotency-Key": {idempotencyKey}, "X-Request-Timeout": {"500"}} // less time than the replacement of a lost home takes
	tests := map[string]struct {
		answers []string
		call    string
		header  http.Header
		script  []fleet.Reason
		opens   []fleet.KeyAnswer
		status  int
		want    string
		ends    []string
		closes  []string
		sends   int
	}{
		"plain": {answers: []string{plainBody}, call: get, status: 200, want: "walnut", ends: []string{"1 completed"}, sends: 1},
		"plain, cut once": {
			answers: []string{cutBody, plainBody}, call: get, status: 200, want: "walnut",
			ends: []string{"1 failed", "2 completed"}, sends: 2,
		},
		"plain, always cut": {
			answers: []string{cutBody}, call: get, status: 502, want: "streamBroken unknown",
			ends: []string{"1 failed", "2 failed", "3 failed"}, sends: 3,
		},
		"another's answer, then its own": {
			answers: []string{foreignBody, plainBody}, call: get, status: 200, want: "walnut",
			ends: []string{"1 failed", "2 completed"}, sends: 2,
		},
		"overloaded": {
			answers: []string{overload}, call: get, status: 503, want: "serverOverloaded notRun",
			ends: []string{"1 overloaded", "2 overloaded", "3 overloaded"}, sends: 3,
		},
		"plain services answer 500 themselves": {answers: []string{failed}, call: get, status: 500, want: "bad", ends: []string{"1 completed"}, sends: 1},
		"queue full": {
			answers: []string{plainBody}, call: get, script: []fleet.Reason{fleet.ReasonQueueFull}, status: 429, want: "queueFull notRun",
		},
		"lapsed grant": {
			answers: []string{plainBody}, call: get, script: []fleet.Reason{fleet.ReasonGrantExpired}, status: 200, want: "walnut",
			ends: []string{"1 returned", "2 completed"}, sends: 1,
		},
		"refused after a try that may have run": {
			answers: []string{cutBody}, call: get, script: []fleet.Reason{fleet.ReasonGranted, fleet.ReasonDeadlinePassed},
			status: 504, want: "deadlinePassed unknown", ends: []string{"1 failed"}, sends: 1,
		},
		"once": {answers: []string{plainBody}, call: once, status: 200, want: "walnut", ends: []string{"1 completed"}, sends: 1},
		"once, cut": {
			answers: []string{cutBody, plainBody}, call: once, status: 502, want: "outcomeUnknown unknown",
			ends: []string{"1 failed"}, sends: 1,
		},
		"once, no answer": {
			answers: []string{"", plainBody}, call: once, status: 502, want: "outcomeUnknown unknown",
			ends: []string{"1 failed"}, sends: 1,
		},
		"once, another's answer": {
			answers: []string{foreignBody, plainBody}, call: once, status: 502, want: "outcomeUnknown unknown",
			ends: []string{"1 failed"}, sends: 1,
		},
		"once, not begun": {
			answers: []string{overload, plainBody}, call: once, status: 503, want: "serverOverloaded notRun",
			ends: []string{"1 overloaded"}, sends: 1,
		},
		"once by another spelling": {
			answers: []string{cutBody, plainBody}, call: "POST /swatch-desk/x/../DISPATCHES/1", status: 502,
			want: "outcomeUnknown unknown", ends: []string{"1 failed"}, sends: 1,
		},
		"keyed": {
			answers: []string{plainBody}, call: once, header: key, status: 200, want: "walnut",
			ends: []string{"1 completed"}, closes: []string{"answered 200 walnut"}, sends: 1,
		},
		"keyed, cut": {
			answers: []string{cutBody}, call: once, header: key, status: 502, want: "outcomeUnknown unknown",
			ends: []string{"1 failed"}, closes: []string{"unknown 0 "}, sends: 1,
		},
		"keyed, refused in the queue": {
			answers: []string{plainBody}, call: once, header: key, script: []fleet.Reason{fleet.ReasonQueueFull},
			status: 429, want: "queueFull notRun", closes: []string{"refused 0 "},
		},
		"keyed, no home": {
			answers: []string{plainBody}, call: once, header: soon, status: 503, want: "noMajority unknown",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyRefused, Reason: fleet.ReasonNoMajority}},
		},
		"keyed, home unreachable": {
			answers: []string{plainBody}, call: once, header: soon, status: 503, want: "keyHomeUnreachable unknown",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyRefused, Reason: fleet.ReasonKeyHomeUnreachable}},
		},
		"keyed, run by the next home": {
			answers: []string{plainBody}, call: once, header: key, status: 200, want: "walnut",
			opens: []fleet.KeyAnswer{
				{Verdict: fleet.KeyRefused, Reason: fleet.ReasonKeyHomeUnreachable},
				{Verdict: fleet.KeyRefused, Reason: fleet.ReasonNoMajority},
				{Verdict: fleet.KeyUnknown, Reason: fleet.ReasonKeyTooOld, Wait: 20},
			},
			ends: []string{"1 completed"}, closes: []string{"answered 200 walnut"}, sends: 1,
		},
		"keyed, too old": {
			answers: []string{plainBody}, call: once, header: key, status: 409, want: "keyTooOld unknown",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyUnknown, Reason: fleet.ReasonKeyTooOld}},
		},
		"keyed, run after a wait": {
			answers: []string{plainBody}, call: once, header: key, status: 200, want: "walnut",
			opens: []fleet.KeyAnswer{
				{Verdict: fleet.KeyUnknown, Reason: fleet.ReasonKeyTooOld, Wait: 20},
				{Verdict: fleet.KeyRefused, Reason: fleet.ReasonKeyInvalid, Wait: 20},
			},
			ends: []string{"1 completed"}, closes: []string{"answered 200 walnut"}, sends: 1,
		},
		"keyed, the wait would outlast the deadline": {
			answers: []string{plainBody}, call: once, header: key, status: 400, want: "keyInvalid unknown",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyRefused, Reason: fleet.ReasonKeyInvalid, Wait: 3_600_000}},
		},
		"keyed, the deadline comes before the end of the wait": {
			answers: []string{plainBody}, call: once, header: http.Header{"Idempotency-Key": {idempotencyKey}, "X-Request-Timeout": {"50"}},
			status: 409, want: "keyTooOld unknown",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyUnknown, Reason: fleet.ReasonKeyTooOld, Wait: 60}},
		},
		"keyed, in progress": {
			answers: []string{plainBody}, call: once, header: key, status: 409, want: "keyInProgress unknown",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyInProgress, Reason: fleet.ReasonKeyInProgress}},
		},
		"keyed, answered before": {
			answers: []string{plainBody}, call: once, header: key, status: 201, want: "oak",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyAnswered, Answer: fleet.Answer{Status: 201, Body: []byte("oak")}}},
		},
		"keyed, answered before at length": {
			answers: []string{plainBody}, call: once, header: key, status: 409, want: "bodyTooLarge completed",
			opens: []fleet.KeyAnswer{{Verdict: fleet.KeyAnswered, Answer: fleet.Answer{Status: 201, Truncated: true}}},
		},
		"key of another form": {
			answers: []string{plainBody}, call: once, header: http.Header{"Idempotency-Key": {"walnut"}}, status: 400, want: "keyInvalid notRun",
		},
		"two keys": {
			answers: []string{plainBody}, call: once, header: http.Header{"Idempotency-Key": {idempotencyKey, idempotencyKey}}, status: 400, want: "keyInvalid notRun",
		},
		"no answer before the deadline": {
			answers: []string{hang}, call: get, header: http.Header{"X-Request-Timeout": {"800"}}, status: 504,
			want: "deadlinePassed unknown", ends: []string{"1 cancelled"}, sends: 1,
		},
		"once, no answer before the deadline": {
			answers: []string{hang}, call: once, header: http.Header{"X-Request-Timeout": {"800"}}, status: 502,
			want: "outcomeUnknown unknown", ends: []string{"1 cancelled"}, sends: 1,
		},
		"a key on a call that may be repeated": {
			answers: []string{plainBody}, call: get, header: key, script: []fleet.Reason{fleet.ReasonQueueFull}, status: 429, want: "queueFull notRun",
		},
		"stream": {
			answers: []string{sse + chunks(true, textEvent, usageEvent+doneEvent)}, call: chat, status: 200, want: textEvent + usageEvent + doneEvent,
			ends: []string{"1 completed"}, sends: 1,
		},
		"stream of a failing server": {
			answers: []string{failed, sse + chunks(true, textEvent, doneEvent)}, call: chat, status: 200, want: textEvent + doneEvent,
			ends: []string{"1 failed", "2 completed"}, sends: 2,
		},
		"stream cut in its header": {
			answers: []string{head + "Content-Ty", sse + chunks(true, textEvent, doneEvent)}, call: chat, status: 200, want: textEvent + doneEvent,
			ends: []string{"1 failed", "2 completed"}, sends: 2,
		},
		"stream cut inside its first event": {
			answers: []string{sse + chunks(false, textEvent[:9]), sse + chunks(true, textEvent, doneEvent)}, call: chat, status: 200, want: textEvent + doneEvent,
			ends: []string{"1 failed", "2 completed"}, sends: 2,
		},
		"stream without a length or chunks": {
			answers: []string{events + textEvent + doneEvent, sse + chunks(true, textEvent, doneEvent)}, call: chat, status: 200, want: textEvent + doneEvent,
			ends: []string{"1 completed"}, sends: 1,
		},
		"stream without a length or chunks, cut": {
			answers: []string{events + textEvent, sse + chunks(true, textEvent, doneEvent)}, call: chat, status: 200, want: textEvent + doneEvent,
			ends: []string{"1 failed", "2 completed"}, sends: 2,
		},
		"no such model":   {answers: []string{plainBody}, call: "POST /v1/completions", status: 404, want: "unknownProduct notRun"},
		"no such product": {answers: []string{plainBody}, call: "GET /teak/x", status: 404, want: "unknownProduct notRun"},
		"model as plain":  {answers: []string{plainBody}, call: "GET /stain-llm/x", status: 404, want: "unknownProduct notRun"},
		"bad timeout": {
			answers: []string{plainBody}, call: get, header: http.Header{"X-Request-Timeout": {"soon"}}, status: 400, want: "badRequest notRun",
		},
		"wrong key": {
			answers: []string{plainBody}, call: get, header: http.Header{"Authorization": {"Bearer x"}}, status: 401, want: "unauthorized notRun",
		},
		"wrong team with an idempotency key": {
			answers: []string{plainBody}, call: once, status: 401, want: "unauthorized unknown",
			header: http.Header{"Authorization": {"Bearer x"}, "Idempotency-Key": {idempotencyKey}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answers...)
			b.script, b.opens = tt.script, tt.opens
			b.start(t)
			method, path, _ := strings.Cut(tt.call, " ")
			body := ""
			switch {
			case tt.call == chat:
				body = modelBody
			case method == "POST":
				body = `{"model":"teak"}`
			}
			answer, text := b.do(t, method, path, body, tt.header)
			if answer.StatusCode != tt.status {
				t.Errorf("status %d, want %d", answer.StatusCode, tt.status)
			}
			if got := refusalText(t, answer, text); got != tt.want {
				t.Errorf("answer %q, want %q", got, tt.want)
			}
			for range tt.ends {
				wait(t, "the end of a grant", b.ended)
			}
			b.server.Close()
			if d := cmp.Diff(tt.ends, b.ends); d != "" {
				t.Errorf("grants ended: %s", d)
			}
			if d := cmp.Diff(tt.closes, b.closes); d != "" {
				t.Errorf("keys closed: %s", d)
			}
			if got := b.backend.requestsSeen(); len(got) != tt.sends {
				t.Errorf("sent %v, want %d", got, tt.sends)
			}
		})
	}
}

func TestStreamCutAtEachByte(t *testing.T) {
	whole := textEvent + usageEvent + doneEvent
	for n := len(textEvent); n <= len(whole); n++ {
		b := newBench(t, sse+chunks(n == len(whole), whole[:n]))
		b.start(t)
		_, text := b.do(t, "POST", "/v1/chat/completions", modelBody, nil)
		passed, refusal, cut := strings.Cut(text, "event: error\ndata: ")
		if !strings.HasPrefix(whole, passed) || !strings.HasSuffix(passed, "\n\n") {
			t.Errorf("cut at %d: passed %q, which is not whole events", n, passed)
		}
		if cut == strings.Contains(passed, "[DONE]") || cut != (n < len(whole)) {
			t.Errorf("cut at %d: caller got %q", n, text)
		}
		if strings.HasSuffix(text, "BROKEN") != cut {
			t.Errorf("cut at %d: the answer %q ends in order: %t", n, text, cut)
		}
		if cut && !strings.Contains(refusal, `"reason":"streamBroken","outcome":"unknown"`) {
			t.Errorf("cut at %d: error event %q", n, refusal)
		}
		want := 1
		if cut {
			want = DefaultAttempts
		}
		if got := b.backend.requestsSeen(); len(got) != want {
			t.Errorf("cut at %d: sent %d times, want %d", n, len(got), want)
		}
		b.server.Close()
	}
}

func TestStreamCutAtEachByteRunsAgain(t *testing.T) {
	body := func(id string) string {
		event := "data: {\"id\":\"" + id + "\",\"choices\":[{\"text\":\"%s\"}]}\n\n"
		return fmt.Sprintf(event, "wal") + ": a comment\n\n" + fmt.Sprintf(event, "nut") + doneEvent
	}
	for n := range len(body("a")) {
		b := newBench(t, sse+chunks(false, body("a")[:n]), sse+chunks(true, body("b")))
		b.start(t)
		_, text := b.do(t, "POST", "/v1/chat/completions", modelBody, nil)
		// The comment is not part of the answer; it may be missing or repeated.
		text = strings.ReplaceAll(text, ": a comment\n\n", "")
		if want := strings.ReplaceAll(body("a"), ": a comment\n\n", ""); text != want && text != strings.ReplaceAll(want, `"a"`, `"b"`) {
			t.Errorf("cut at %d: caller got %q", n, text)
		}
		b.server.Close()
	}
}

func TestStreamRunsAgain(t *testing.T) {
	event := func(id, text string) string {
		return `data: {"choices":[{"text":"` + text + `"}],"id":"` + id + `","model":"id"}` + "\n\n"
	}
	stream := func(end bool, parts ...string) string { return sse + chunks(end, parts...) }
	a1, a2, a3, b1, b2, b3 := event("a", "wal"), event("a", "nut"), event("a", "."), event("b", "wal"), event("b", "nut"), event("b", ".")
	begun := stream(false, a1, a2[:9])
	tests := map[string]struct {
		answers []string
		script  []fleet.Reason
		header  http.Header
		burst   float64
		passed  string
		reason  string // empty for a complete answer
		ends    []string
		diverge int64
	}{
		"whole":           {answers: []string{begun, stream(true, b1, b2, b3, doneEvent)}, passed: a1 + a2 + a3 + doneEvent, ends: []string{"1 failed", "2 completed"}},
		"cut before end":  {answers: []string{stream(false, a1, a2, doneEvent[:9]), stream(true, b1, b2, doneEvent)}, passed: a1 + a2 + doneEvent, ends: []string{"1 failed", "2 completed"}},
		"cut twice":       {answers: []string{begun, stream(false, b1, b2), stream(true, b1, b2, b3, doneEvent)}, passed: a1 + a2 + a3 + doneEvent, ends: []string{"1 failed", "2 failed", "3 completed"}},
		"cut before same": {answers: []string{stream(false, a1, a2), stream(false, b1), stream(true, b1, b2, doneEvent)}, passed: a1 + a2 + doneEvent, ends: []string{"1 failed", "2 failed", "3 completed"}},
		"failing server":  {answers: []string{begun, failed, stream(true, b1, b2, doneEvent)}, passed: a1 + a2 + doneEvent, ends: []string{"1 failed", "2 failed", "3 completed"}},
		"overloaded once": {answers: []string{begun, overload, stream(true, b1, b2, doneEvent)}, passed: a1 + a2 + doneEvent, ends: []string{"1 failed", "2 overloaded", "3 completed"}},
		"another text":    {answers: []string{begun, stream(true, event("b", "oak"), b2, doneEvent)}, passed: a1, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1},
		"text differs later": {
			answers: []string{stream(false, a1, a2), stream(true, b1, event("b", "oak"), doneEvent)},
			passed:  a1 + a2, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1,
		},
		"ends early":     {answers: []string{stream(false, a1, a2), stream(true, b1, doneEvent)}, passed: a1 + a2, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1},
		"no stream":      {answers: []string{begun, plainBody}, passed: a1, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1},
		"no stream, 404": {answers: []string{begun, "HTTP/1.1 404 None\r\nX-Attempt-Id: ID\r\nContent-Length: 3\r\n\r\nbad"}, passed: a1, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1},
		"no stream, 204": {answers: []string{begun, "HTTP/1.1 204 None\r\nX-Attempt-Id: ID\r\n\r\n"}, passed: a1, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1},
		"stream of a 404": {
			answers: []string{begun, strings.Replace(stream(true, b1, b2, doneEvent), "200 OK", "404 None", 1)},
			passed:  a1, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1,
		},
		"overloaded, perhaps run": {
			answers: []string{begun, "HTTP/1.1 429 Slow\r\nX-Attempt-Id: ID\r\nContent-Length: 0\r\n\r\n"},
			passed:  a1, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1,
		},
		"an id is missing": {answers: []string{begun, stream(true, event("", "wal"), event("", "nut"), doneEvent)}, passed: a1, reason: "streamBroken", ends: []string{"1 failed", "2 cancelled"}, diverge: 1},
		"foreign event":    {answers: []string{begun, stream(true, b1, a2, doneEvent)}, passed: a1, reason: "foreignAnswer", ends: []string{"1 failed", "2 failed"}},
		"always cut":       {answers: []string{begun}, passed: a1, reason: "streamBroken", ends: []string{"1 failed", "2 failed", "3 failed"}},
		"empty budget":     {answers: []string{begun, stream(true, b1, doneEvent)}, burst: 0.5, passed: a1, reason: "retryBudget", ends: []string{"1 failed"}},
		"no server":        {answers: []string{begun}, script: []fleet.Reason{fleet.ReasonGranted, fleet.ReasonNoServer}, passed: a1, reason: "noServer", ends: []string{"1 failed"}},
		"deadline": {
			answers: []string{begun, stream(false, b1, b2) + hang}, header: http.Header{"X-Request-Timeout": {"800"}},
			passed: a1 + a2, reason: "deadlinePassed", ends: []string{"1 failed", "2 failed"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answers...)
			b.script, b.front.Settings.RetryBurst = tt.script, tt.burst
			b.start(t)
			_, text := b.do(t, "POST", "/v1/chat/completions", modelBody, tt.header)
			passed, refusal, _ := strings.Cut(text, "event: error\ndata: ")
			refusal, broken := strings.CutSuffix(refusal, "BROKEN")
			if broken != (tt.reason != "") {
				t.Errorf("the answer %q ends in order: %t", text, !broken)
			}
			var body refusalBody
			_ = json.Unmarshal([]byte(refusal), &body)
			if passed != tt.passed || body.Reason != tt.reason || body.NotRun || strings.Count(text, "event: error") > 1 {
				t.Errorf("caller got %q, want %q and the reason %q", text, tt.passed, tt.reason)
			}
			for range tt.ends {
				wait(t, "the end of a grant", b.ended)
			}
			b.server.Close()
			if d := cmp.Diff(tt.ends, b.ends); d != "" {
				t.Errorf("grants ended: %s", d)
			}
			if got := b.counter("streams.diverged"); got != tt.diverge {
				t.Errorf("%d runs diverged, want %d", got, tt.diverge)
			}
		})
	}
}

func TestLongStreamIsNotRunAgain(t *testing.T) {
	long := strings.Repeat(textEvent, maxEventHashBytes/eventHashBytes+1)
	b := newBench(t, sse+chunks(false, long), sse+chunks(true, long, doneEvent))
	b.start(t)
	_, text := b.do(t, "POST", "/v1/chat/completions", modelBody, nil)
	passed, refusal, _ := strings.Cut(text, "event: error\ndata: ")
	if passed != long || !strings.Contains(refusal, `"reason":"streamBroken"`) || len(b.backend.requestsSeen()) != 1 {
		t.Errorf("sent %d times, %d bytes passed, then %q", len(b.backend.requestsSeen()), len(passed), refusal)
	}
}

func TestForeignEvents(t *testing.T) {
	const mine, other, bad = "data: {\"id\":\"a\"}\n\n", "data: {\"id\":\"b\"}\n\n", "data: {\"id\":\n\n"
	tests := map[string]struct {
		parts  []string
		passed string
		reason string
	}{
		"another's event":        {[]string{mine, other, doneEvent}, mine, "foreignAnswer"},
		"another's end":          {[]string{mine, mine, other + doneEvent}, mine + mine, "foreignAnswer"},
		"an event without an id": {[]string{mine, textEvent, doneEvent}, mine, "foreignAnswer"},
		"an id only later":       {[]string{textEvent, mine, doneEvent}, textEvent, "streamBroken"},
		"an event of two pieces": {[]string{mine, bad, doneEvent}, mine, "streamBroken"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, sse+chunks(true, tt.parts...))
			b.start(t)
			_, text := b.do(t, "POST", "/v1/chat/completions", modelBody, nil)
			passed, refusal, _ := strings.Cut(text, "event: error\ndata: ")
			if passed != tt.passed || !strings.HasPrefix(refusal, "{\"reason\":\""+tt.reason) {
				t.Errorf("caller got %q, want %q and the reason %s", text, tt.passed, tt.reason)
			}
		})
	}
}

func TestLongAnswerIsCutOff(t *testing.T) {
	long := strings.Repeat("x", 100)
	tests := map[string]struct {
		answer string
		want   string
	}{
		"whole":          {head + "Content-Length: 100\r\n\r\n" + long, long},
		"length, cut":    {head + "Content-Length: 100\r\n\r\n" + long[:60], long[:60] + "BROKEN"},
		"chunks, cut":    {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(false, long), long + "BROKEN"},
		"chunked, whole": {head + "Transfer-Encoding: chunked\r\n\r\n" + chunks(true, long), long},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, tt.answer)
			b.front.Settings.BufferedAnswerBytes = 50
			b.start(t)
			_, text := b.do(t, "GET", "/swatch-desk/colours", "", nil)
			// The transport decides how much arrives before the connection is closed, so only the truncation itself is checked.
			if strings.HasSuffix(text, "BROKEN") != strings.HasSuffix(tt.want, "BROKEN") || !strings.HasPrefix(tt.want, strings.TrimSuffix(text, "BROKEN")) {
				t.Errorf("got %q, want %q", text, tt.want)
			}
		})
	}
}

func TestCosts(t *testing.T) {
	c := &call{front: &Front{Clock: func() time.Duration { return time.Second }}, promptTokens: 4, product: &rule.Product{Kind: rule.KindModel}}
	tests := map[string]struct {
		try  attempt
		want int64
	}{
		"nothing came": {attempt{call: c}, 0},
		"cut":          {attempt{call: c, firstByte: 1, chunks: 3}, 10},
		"counted":      {attempt{call: c, firstByte: 1, chunks: 3, usage: &usage{PromptTokens: 5, CompletionTokens: 7}}, 19},
		"plain":        {attempt{call: &call{front: c.front, product: &rule.Product{Kind: rule.KindPlain}}, started: 960 * time.Millisecond}, 40},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := tt.try.cost(); got != tt.want {
				t.Errorf("cost %d, want %d", got, tt.want)
			}
		})
	}
}

func TestKeyOfTestIsValid(t *testing.T) {
	if _, ok := keys.Timestamp(idempotencyKey); !ok {
		t.Errorf("%s is no UUIDv7", idempotencyKey)
	}
}
