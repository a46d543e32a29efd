package relay

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestMalformedHeads guards against an answer of a server in trouble that a caller gets as one: its status is none, or the name of a field holds a blank or a
// control byte, also where net/http passes over that and reads another body than the server's (MIXED).
func TestMalformedHeads(t *testing.T) {
	const (
		ok    = "HTTP/1.1 200 OK\r\n"
		known = testID + ": id-1\r\n" + testSigned + ": yes\r\n"
		sound = known + "Content-Length: 5\r\n\r\nwhole"
	)
	for name, text := range map[string]string{
		"status 000":                "HTTP/1.1 000 OK\r\n" + sound,
		"status 099":                "HTTP/1.1 099 OK\r\n" + sound,
		"status 600":                "HTTP/1.1 600 OK\r\n" + sound,
		"status 999":                "HTTP/1.1 999 OK\r\n" + sound,
		"a sign":                    "HTTP/1.1 +20 OK\r\n" + sound,
		"a blank before the colon":  ok + known + "Content-Length : 4\r\nConnection: close\r\n\r\nwhole or longer",
		"a blank in a length":       ok + known + "Content Length: 4\r\n\r\nwhole or longer",
		"a blank in an encoding":    ok + known + "Transfer Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		"a blank in a name":         ok + "X Y: z\r\n" + sound,
		"a tab in a name":           ok + "X\tY: z\r\n" + sound,
		"a control byte in a name":  ok + "X\x01Y: z\r\n" + sound,
		"a delete byte in a name":   ok + "X\x7f: z\r\n" + sound,
		"no name":                   ok + ": z\r\n" + sound,
		"a blank at the begin":      ok + "X: y\r\n Content-Length: 4\r\n" + sound,
		"an encoding in HTTP/1.0":   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + known + "\r\n5\r\nwhole\r\n0\r\n\r\n",
		"a name of an interim head": "HTTP/1.1 103 Early Hints\r\nLi nk: x\r\n\r\n" + ok + sound,
		"a blank in a trailer":      ok + known + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Y: z\r\n\r\n",
		"a control byte in one":     ok + known + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX\x01Y: z\r\n\r\n",
		"a blank, without a length": ok + known + "X Y: z\r\n\r\nwhole",
		"a failure":                 "HTTP/1.1 500 Mishap\r\nX Y: z\r\n" + sound,
		"a refusal":                 "HTTP/1.1 503 Full\r\n" + testNotRun + ": 1\r\nX Y: z\r\n" + sound,
	} {
		for _, path := range []string{"/unsafe/", "/safe/", "/stream/", "/fixed/"} {
			for kind, text := range map[string]string{"plain": text, "events": strings.Replace(text, testSigned, "Content-Type: text/event-stream\r\n"+testSigned, 1)} {
				t.Run(fmt.Sprint(name, ", ", kind, path), func(t *testing.T) {
					w := newFixture(t, rawAnswer(text))
					a := w.do(t, http.MethodPost, path, "x", nil)
					if a.err == nil && a.status != http.StatusBadGateway {
						t.Errorf("got %d %q as a whole answer", a.status, a.body)
					}
				})
			}
		}
	}
}

// TestSoundHeads guards against answers that are refused for a head that is unusual but sound.
func TestSoundHeads(t *testing.T) {
	const known = testID + ": id-1\r\n" + testSigned + ": yes\r\n"
	for name, text := range map[string]string{
		"no reason":        "HTTP/1.1 200\r\n" + known + "Content-Length: 5\r\n\r\nwhole",
		"line feeds alone": "HTTP/1.1 200 OK\n" + strings.ReplaceAll(known, "\r", "") + "Content-Length: 5\n\nwhole",
		"odd names":        "HTTP/1.1 200 OK\r\nX_y.z|~!: \t a b \xe4\r\n" + known + "Content-Length: 5\r\n\r\nwhole",
		"an interim head":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n" + known + "Content-Length: 5\r\n\r\nwhole",
		"a trailer":        "HTTP/1.1 200 OK\r\n" + known + "Transfer-Encoding: chunked\r\nTrailer: X-Sum\r\n\r\n5\r\nwhole\r\n0\r\nX-Sum: 1\r\n\r\n",
		"the status 599":   "HTTP/1.1 599 Mishap\r\n" + known + "Content-Length: 5\r\n\r\nwhole",
	} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t, rawAnswer(text))
			if a := w.do(t, http.MethodPost, "/unsafe/", "x", nil); a.err != nil || a.body != "whole" {
				t.Errorf("got %d %q, %v", a.status, a.body, a.err)
			}
		})
	}
}
