package back

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"mangolug.org/core/fleet"
)

// TestSecondAnswerInTheSameRead guards against a second copy of a response that arrived together with the first, so that
// the transport holds it in its buffer and may read it as the response to the next request on the connection. Only the ids
// of the attempts tell them apart in Send; Do has to tell by itself, since a request may be sent twice under one id.
func TestSecondAnswerInTheSameRead(t *testing.T) {
	// The copy carries a number, since requests under one id have responses with equal headers.
	answer := func(id, body string) string {
		return "HTTP/1.1 200 OK\r\n" + HeaderAttempt + ": " + id + "\r\nContent-Length: 4\r\n\r\n" + body
	}
	for name, once := range map[string]bool{"may be repeated": false, "may not be repeated": true} {
		t.Run(name, func(t *testing.T) {
			s := &twiceServer{answer: answer}
			s.start(t)
			c := &Client{Settings: Settings{NonIdempotentIdle: time.Minute}}
			defer c.Close()
			var wg sync.WaitGroup
			var mutex sync.Mutex
			taken, foreign, lost, sent := 0, 0, 0, 0
			for range 8 {
				wg.Go(func() {
					for range 300 {
						body, err := doOnce(c, s.address, once)
						mutex.Lock()
						sent++
						var failed *ServerError
						switch {
						case err == nil && body == "copy":
							taken++
						case errors.As(err, &failed) && failed.Reason == fleet.ReasonForeignAnswer:
							foreign++
						case errors.As(err, &failed) && failed.Sent && !failed.NotRun:
							lost++ // the transport closed the connection while the request was written
						case err != nil:
							t.Error(err)
						}
						mutex.Unlock()
					}
				})
			}
			wg.Wait()
			t.Logf("%d requests, %d got a copy, %d rejected one, %d lost their connection", sent, taken, foreign, lost)
			if taken > 0 {
				t.Errorf("%d of %d requests got the second copy of an earlier response", taken, sent)
			}
		})
	}
}

func doOnce(c *Client, address string, once bool) (string, error) {
	a := attempt(address)
	request, err := a.request(context.Background())
	if err != nil {
		return "", err
	}
	response, err := c.Do(request, "desk-1", once, nil)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// twiceServer sends each response and a copy of it in one write.
type twiceServer struct {
	answer  func(id, body string) string
	address string
}

func (s *twiceServer) start(t *testing.T) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s.address = l.Addr().String()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
}

func (s *twiceServer) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get(HeaderAttempt)
		if _, err := io.WriteString(c, s.answer(id, "mine")+s.answer(id, "copy")); err != nil {
			return
		}
	}
}

// TestAnswerBeforeTheRequest guards against claiming that a request did not run although some of it was written when the
// response of another, which its server sent by itself on a new connection, was rejected.
func TestAnswerBeforeTheRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	received := make(chan int64, 1)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.WriteString(c, responseTo("a0")) // the client may have closed the connection
			n, _ := io.Copy(io.Discard, c)
			c.Close()
			received <- n
		}
	}()
	c := &Client{}
	defer c.Close()
	for range 100 {
		body, err := sendOnce(c, l.Addr().String(), "a1")
		if err == nil {
			t.Fatalf("body %q of a response that was sent before the request", body)
		}
		var failed *ServerError
		if !errors.As(err, &failed) {
			t.Fatalf("error %v", err)
		}
		c.Close() // closes the connection where it was not written to
		if n := <-received; failed.NotRun && n > 0 {
			t.Fatalf("%v claims that the request did not run, but %d bytes of it arrived", err, n)
		}
	}
}

// TestSecondLoadReport guards against taking the second copy of an earlier load report for the present one.
func TestSecondLoadReport(t *testing.T) {
	report := func(_, body string) string {
		text := `{"server":"desk-1","running":1}`
		if body == "copy" {
			text = `{"server":"desk-1","running":9}`
		}
		return "HTTP/1.1 200 OK\r\nContent-Length: 31\r\n\r\n" + text
	}
	s := &twiceServer{answer: report}
	s.start(t)
	c := &Client{}
	defer c.Close()
	var wg sync.WaitGroup
	var taken atomic.Int64
	for range 8 {
		wg.Go(func() {
			for range 300 {
				if l, err := c.Load(t.Context(), "desk-1", s.address); err == nil && l.Running == 9 {
					taken.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if n := taken.Load(); n > 0 {
		t.Errorf("%d of 2400 reports are copies of earlier ones", n)
	}
}
