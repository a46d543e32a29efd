package back

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"

	"mangolug.org/core/head"
)

// TestCheckHeads guards against a malformed answer of a store that is read as another one, at the first request on a connection or at a later one (MIXED).
func TestCheckHeads(t *testing.T) {
	const sound, odd = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX Y: z\r\n\r\n{}"
	for name, answers := range map[string][]string{
		"sound":              {sound, sound, sound},
		"the first is odd":   {odd},
		"a later one is odd": {sound, sound, odd},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				reader := bufio.NewReader(c)
				for _, text := range answers {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					_, _ = io.WriteString(c, text) // fails only if the client has left
				}
			}()
			// Each connection after the first is refused, as net/http repeats a request whose answer it can't read.
			dials := 0
			dial := func(ctx context.Context, network, address string) (net.Conn, error) {
				if dials++; dials > 1 {
					return nil, &net.OpError{Op: "dial", Err: errors.New("one connection only")}
				}
				return (&net.Dialer{}).DialContext(ctx, network, address)
			}
			client := &http.Client{Transport: &http.Transport{DialContext: CheckHeads(dial)}}
			for i, text := range answers {
				response, err := client.Get("http://" + l.Addr().String())
				if text == odd {
					var malformed *head.Error
					if err == nil || dials == 1 && !errors.As(err, &malformed) {
						t.Errorf("answer %d: %v, want a *head.Error", i+1, err)
					}
					return
				}
				if err != nil {
					t.Fatalf("answer %d: %v", i+1, err)
				}
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					t.Errorf("answer %d: %v", i+1, err)
				}
				_ = response.Body.Close()
			}
		})
	}
}
