package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// workTime is how long a request of a plain service runs.
	workTime = 60 * time.Millisecond
	// extraDelay is how long after an answer the bytes that belong to no request come.
	extraDelay = 60 * time.Millisecond
)

// extraAnswers are what an engine in trouble sends after a complete answer, by status: rejections without an id.
var extraAnswers = map[int]string{
	http.StatusBadRequest:         "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	http.StatusMisdirectedRequest: "HTTP/1.1 421 Misdirected Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
}

// troubleHeader is in the requests after which an engine may send a second answer.
const troubleHeader = "X-Trouble"

// serveWithExtras serves a plain service by hand, and sends a second answer late after some of the answers.
func (e *engine) serveWithExtras(listener net.Listener, share float64, status int) {
	for {
		c, err := listener.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c, share, extraAnswers[status])
	}
}

func (e *engine) serveConn(c net.Conn, share float64, extra string) {
	defer c.Close()
	var mutex sync.Mutex
	write := func(text string) error {
		mutex.Lock()
		defer mutex.Unlock()
		_, err := io.WriteString(c, text)
		return err
	}
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id, target := r.Header.Get("Request-Id"), r.Header.Get("Target-Instance")
		echo := "Request-Id: " + id + "\r\n"
		running := e.running.Add(1)
		load := fmt.Sprintf("Server-Load: %d,%d,%d\r\n", min(running, e.slots), max(0, running-e.slots), e.slots)
		answer := ""
		switch {
		case target != "" && target != e.id:
			answer = "HTTP/1.1 421 Misdirected Request\r\n" + echo + "Instance-Id: " + e.id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		case r.URL.Path == "/health":
			answer = "HTTP/1.1 200 OK\r\nInstance-Id: " + e.id + "\r\n" + load + "Content-Length: 0\r\n\r\n"
		case id == "":
			answer = "HTTP/1.1 400 Bad Request\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		case running > e.slots:
			answer = "HTTP/1.1 503 Service Unavailable\r\n" + echo + load + "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			run := fmt.Sprintf("%s.%d.%d", e.id, e.born, e.runs.Add(1))
			e.say("run id=%s run=%s version=%s method=%s target=%s", id, run, e.version, r.Method, r.RequestURI)
			time.Sleep(workTime)
			body := id + " done by " + run + "\n"
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\n%sResponse-Signature: %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", echo, run, load, len(body), body)
		}
		e.running.Add(-1)
		if write(answer) != nil {
			return
		}
		if r.Header.Get(troubleHeader) != "" && rand.Float64() < share {
			time.AfterFunc(extraDelay, func() {
				if write(extra) == nil {
					e.say("extra after=%s", id)
				}
			})
		}
	}
}
