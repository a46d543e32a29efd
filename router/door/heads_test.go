package door

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// closings counts closed connections by reason.
type closings struct {
	mutex  sync.Mutex
	counts map[Closing]int
}

func (c *closings) add(r Closing) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = map[Closing]int{}
	}
	c.counts[r]++
}

func (c *closings) of(r Closing) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts[r]
}

// openHeads returns a running server whose heads are bounded.
func openHeads(t *testing.T, h *Heads) *Entrance {
	t.Helper()
	e, server := open(t)
	e.Door.Heads = h
	server.MaxHeaderBytes = 1 << 20
	go server.Serve(e.Door)
	return e
}

// status sends a request with a head of about n bytes and returns the status of the answer.
func status(t *testing.T, caller net.Conn, n int) int {
	t.Helper()
	head := "GET / HTTP/1.1\r\nHost: router\r\n"
	_, err := io.WriteString(caller, head+"A: "+strings.Repeat("x", n-len(head)-len("A: \r\n\r\n"))+"\r\n\r\n")
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
	return answer.StatusCode
}

// TestHeadLimitFollowsConfiguration guards against a limit on heads that stays as it was at the start, and against rejecting heads inside it.
func TestHeadLimitFollowsConfiguration(t *testing.T) {
	var limit atomic.Int64
	var closed closings
	e := openHeads(t, &Heads{Size: limit.Load, OnClose: closed.add})
	for _, c := range []struct {
		limit int64
		bytes int
		want  int
	}{
		{16 << 10, 16 << 10, 200},
		{16 << 10, 40 << 10, 431},
		{100 << 10, 100 << 10, 200},
		{8 << 10, 16 << 10, 431},
		{0, 200 << 10, 200},
	} {
		limit.Store(c.limit)
		for n := range 2 { // the second on a connection that was used before
			caller := dial(t, e)
			if n == 1 {
				status(t, caller, 100)
			}
			if got := status(t, caller, c.bytes); got != c.want {
				t.Errorf("limit %d: a head of %d bytes got %d, want %d", c.limit, c.bytes, got, c.want)
			}
		}
	}
	if got := closed.of(ClosingHeadTooLarge); got != 4 {
		t.Errorf("%d heads counted as too large, want 4", got)
	}
}

// TestOldestHeadsAreClosed guards against heads that together take more than their memory, and against closing the connections of callers whose
// heads come at once.
func TestOldestHeadsAreClosed(t *testing.T) {
	const counted, most = 1000, 10 // bytes of each head beyond its allowance, and heads for which there is memory
	const each = headAllowance/headByteCost + counted
	var closed closings
	h := &Heads{Memory: func() int64 { return most * counted * headByteCost }, OnClose: closed.add}
	e := openHeads(t, h)
	idle := dial(t, e) // a connection that a caller keeps
	if got := status(t, idle, 100); got != 200 {
		t.Fatalf("status %d", got)
	}
	var callers []net.Conn
	for i := range 2 * most {
		caller := dial(t, e)
		callers = append(callers, caller)
		if _, err := io.WriteString(caller, "GET /"+strings.Repeat("x", each-len("GET /"))); err != nil {
			t.Fatal(err)
		}
		waitUntil(t, func() bool {
			n, _ := h.InProgress()
			return n == min(i+1, most) && closed.of(ClosingHeadsFull) == max(0, i+1-most)
		})
	}
	for i, caller := range callers {
		_ = caller.SetReadDeadline(time.Now().Add(10 * time.Millisecond))
		_, err := caller.Read(make([]byte, 1))
		timeout, ok := err.(net.Error)
		if open := ok && timeout.Timeout(); open != (i >= most) {
			t.Errorf("connection %d open %v, want those of the %d newest heads", i, open, most)
		}
	}
	if got := status(t, idle, 200); got != 200 {
		t.Errorf("the connection that was kept got %d", got)
	}
	for _, caller := range callers {
		_ = caller.Close()
	}
	waitUntil(t, func() bool { n, memory := h.InProgress(); return n == 0 && memory == 0 })
}

// TestOrdinaryHeadsAreNotCounted guards against closing connections of callers inside the limits whose requests wait for a router without processor time.
func TestOrdinaryHeadsAreNotCounted(t *testing.T) {
	var closed closings
	h := &Heads{Memory: func() int64 { return 1 }, OnClose: closed.add}
	head := []byte("POST / HTTP/1.1\r\n" + strings.Repeat("Name: value\r\n", 20))
	for range 1000 {
		c := &Conn{heads: h}
		h.add(c, append(head, make([]byte, 4096-len(head))...)) // with a part of the body
	}
	if count, memory := h.InProgress(); count != 0 || memory != 0 || closed.of(ClosingHeadsFull) != 0 {
		t.Errorf("%d heads count with %d bytes, %d were closed", count, memory, closed.of(ClosingHeadsFull))
	}
}

// TestUnreadAnswerIsGivenUp guards against a connection that stays open since its client never reads its answer, and against closing one whose client
// reads slowly.
func TestUnreadAnswerIsGivenUp(t *testing.T) {
	const timeout = 200 * time.Millisecond
	for name, reads := range map[string]bool{"reads slowly": true, "reads nothing": false} {
		t.Run(name, func(t *testing.T) {
			caller, served := connPair(t)
			var closed closings
			h := &Heads{WriteTimeout: timeout, OnClose: closed.add}
			done := make(chan struct{})
			defer close(done)
			if reads {
				go func() {
					block := make([]byte, 1<<20)
					for {
						if _, err := caller.Read(block); err != nil {
							return
						}
						time.Sleep(timeout / 20)
					}
				}()
			}
			answer := make([]byte, 16<<20) // more than the system's buffers hold
			began := time.Now()
			n, err := h.Wrap(served).Write(answer)
			if whole := err == nil && n == len(answer); whole != reads {
				t.Errorf("wrote %d bytes in %v: %v", n, time.Since(began), err)
			}
			if got := closed.of(ClosingUnread); (got == 1) == reads {
				t.Errorf("%d unread answers counted", got)
			}
		})
	}
}

// TestBlockedConnectionsAreClosed guards against an answer that is not read and keeps the room of a request until the write timeout, and against
// closing connections whose client just reads.
func TestBlockedConnectionsAreClosed(t *testing.T) {
	_, served := connPair(t)
	var closed closings
	h := &Heads{WriteTimeout: time.Minute, OnClose: closed.add}
	blocked := h.Wrap(served)
	var conns ConnTracker
	conns.TrackState(blocked, http.StateNew)
	conns.TrackState(blocked, http.StateActive)
	if conns.CloseBlocked(0); conns.Count() != 1 {
		t.Fatal("a connection without a write was closed")
	}
	failed := make(chan error)
	go func() {
		_, err := blocked.Write(make([]byte, 16<<20)) // more than the system's buffers hold
		failed <- err
	}()
	waitUntil(t, func() bool { return blocked.(*Conn).blockedFor(20 * time.Millisecond) })
	if conns.CloseBlocked(time.Minute); conns.Count() != 1 {
		t.Error("closed before the time")
	}
	conns.CloseBlocked(20 * time.Millisecond)
	if err := <-failed; err == nil || conns.Count() != 0 || closed.of(ClosingUnread) != 1 {
		t.Errorf("write: %v, %d connections, %d closed", err, conns.Count(), closed.of(ClosingUnread))
	}
}

// TestSilentConnectionsGoFirst guards against closing connections that callers keep while clients hold others open that send nothing.
func TestSilentConnectionsGoFirst(t *testing.T) {
	var conns ConnTracker
	var ends []net.Conn
	for i, s := range []connState{
		{idleSince: time.Now().Add(-40 * time.Second), used: true},
		{idleSince: time.Now().Add(-2 * silentTime)},
		{idleSince: time.Now()},
		{used: true}, // a request is served
	} {
		a, b := net.Pipe()
		defer a.Close()
		defer b.Close()
		conns.TrackState(a, http.StateNew)
		conns.conns[a] = s
		ends = append(ends, a)
		t.Log(i, fmt.Sprintf("%+v", s))
	}
	for closed, want := range [][]bool{{true, false, true, true}, {false, false, true, true}, {false, false, false, true}, {false, false, false, true}} {
		conns.CloseLongestIdle(1)
		for i, c := range ends {
			if _, open := conns.conns[c]; open != want[i] {
				t.Errorf("after %d closings connection %d open %v", closed+1, i, open)
			}
		}
	}
}
