package back

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
)

// TestFramingOf guards against taking a response whose end only the end of the connection shows for one with a length or chunks, and the
// reverse.
func TestFramingOf(t *testing.T) {
	for name, c := range map[string]struct {
		method, head string
		want         Framing
	}{
		"chunked":            {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", want: FramingChunked},
		"chunked and length": {head: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 9\r\n\r\n0\r\n\r\n", want: FramingChunked},
		"length":             {head: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", want: FramingLength},
		"empty body":         {head: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", want: FramingLength},
		"neither":            {head: "HTTP/1.1 200 OK\r\n\r\nok", want: FramingConnection},
		"HTTP/1.0":           {head: "HTTP/1.0 200 OK\r\n\r\nok", want: FramingConnection},
		"404 with neither":   {head: "HTTP/1.1 404 Not Found\r\n\r\nok", want: FramingConnection},
		"204":                {head: "HTTP/1.1 204 No Content\r\n\r\n", want: FramingNone},
		"304":                {head: "HTTP/1.1 304 Not Modified\r\n\r\n", want: FramingNone},
		"HEAD":               {method: http.MethodHead, head: "HTTP/1.1 200 OK\r\n\r\n", want: FramingNone},
	} {
		t.Run(name, func(t *testing.T) {
			response, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.head)), &http.Request{Method: c.method})
			if err != nil {
				t.Fatal(err)
			}
			defer response.Body.Close()
			if got := FramingOf(c.method, response); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}
