package door

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

const request = "POST / HTTP/1.1\r\nHost: router\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// TestStopAnswersConnections checks that callers connected before a stop are answered, whenever their request arrives.
func TestStopAnswersConnections(t *testing.T) {
	tests := map[string]struct {
		accepted bool // the connection is accepted before the stop begins
		before   bool // the request is sent before the stop begins
	}{
		"accepted, request sent":       {accepted: true, before: true},
		"accepted, request comes late": {accepted: true},
		"waiting, request sent":        {before: true},
		"waiting, request comes late":  {},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e, server := open(t)
			if c.accepted {
				go server.Serve(e.Door)
			}
			caller := dial(t, e)
			if c.accepted {
				waitUntil(t, e.Conns.inUse)
			}
			if c.before {
				send(t, caller)
			}
			stopped := make(chan error, 1)
			go func() { stopped <- e.Close(t.Context(), server) }()
			if !c.accepted {
				waitUntil(t, e.Door.closing.Load)
				go server.Serve(e.Door)
			}
			waitUntil(t, func() bool { return listenerClosed(e) })
			if !c.before {
				send(t, caller)
			}
			answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatal(err)
			}
			if body, err := io.ReadAll(answer.Body); err != nil || string(body) != "whole" {
				t.Errorf("answer %q, %v", body, err)
			}
			if err := <-stopped; err != nil {
				t.Error(err)
			}
		})
	}
}

func open(t *testing.T) (*Entrance, *http.Server) {
	t.Helper()
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &Entrance{Door: New(socket.(*net.TCPListener))}
	server := &http.Server{ConnState: e.Conns.TrackState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, "whole")
	})}
	t.Cleanup(func() { server.Close() })
	return e, server
}

func dial(t *testing.T, e *Entrance) net.Conn {
	t.Helper()
	caller, err := net.Dial("tcp", e.Door.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	return caller
}

func send(t *testing.T, caller net.Conn) {
	t.Helper()
	if _, err := io.WriteString(caller, request); err != nil {
		t.Fatal(err)
	}
}

// listenerClosed reports whether the listener accepts no more connections.
func listenerClosed(e *Entrance) bool {
	select {
	case <-e.Door.closed:
		return true
	default:
		return false
	}
}

// inUse reports whether a connection is open.
func (i *ConnTracker) inUse() bool { return !i.idleFor(time.Hour) }

func waitUntil(t *testing.T, holds func() bool) {
	t.Helper()
	ticker := time.NewTicker(time.Millisecond)
	defer ticker.Stop()
	limit := time.After(drainLimit)
	for !holds() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("timed out waiting for a condition")
		}
	}
}
