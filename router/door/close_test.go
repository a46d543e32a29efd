package door

import (
	"net"
	"net/http"
	"testing"
	"time"

	"mangolug.org/router/sock"
)

// TestCloseIdle checks that connections idle for too long are closed, and that others and those in use stay open.
func TestCloseIdle(t *testing.T) {
	tests := map[string]struct {
		length time.Duration
		open   []bool // of: idle for long, idle for short, serving
	}{
		"long enough": {length: time.Hour, open: []bool{true, true, true}},
		"too long":    {length: 40 * time.Millisecond, open: []bool{false, true, true}},
		"any":         {open: []bool{false, false, true}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var conns ConnTracker
			var ends []net.Conn
			for range c.open {
				a, b := net.Pipe()
				defer a.Close()
				defer b.Close()
				conns.TrackState(a, http.StateNew)
				ends = append(ends, a)
				if len(ends) == 1 {
					time.Sleep(50 * time.Millisecond)
				}
			}
			conns.TrackState(ends[2], http.StateActive)
			conns.CloseIdle(c.length)
			for i, want := range c.open {
				_ = ends[i].SetReadDeadline(time.Now().Add(time.Millisecond))
				_, err := ends[i].Read(make([]byte, 1))
				timeout, ok := err.(net.Error)
				if got := ok && timeout.Timeout(); got != want {
					t.Errorf("connection %d open %t (%v), want %t", i, got, err, want)
				}
			}
		})
	}
}

// TestRequestOnIdleConnection guards against losing a request that has arrived on a long-idle connection but is still
// unread when idle connections are closed.
func TestRequestOnIdleConnection(t *testing.T) {
	for name, sent := range map[string]string{"nothing came": "", "a request came": "GET / HTTP/1.1\r\n"} {
		t.Run(name, func(t *testing.T) {
			caller, c := connPair(t)
			var conns ConnTracker
			conns.TrackState(c, http.StateIdle)
			if _, err := caller.Write([]byte(sent)); err != nil {
				t.Fatal(err)
			}
			for limit := time.Now().Add(time.Second); sent != "" && time.Now().Before(limit); {
				if _, unread := sock.Peek(c); unread {
					break
				}
			}
			conns.CloseIdle(0)
			if _, err := c.Write([]byte("x")); (err == nil) != (sent != "") {
				t.Errorf("writing after idle connections were closed: %v", err)
			}
		})
	}
}

// TestFullDoor checks that a listener at capacity closes new connections unread, and accepts the next once there is room.
func TestFullDoor(t *testing.T) {
	l, err := Listen("127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := New(l)
	full := true
	d.AtCapacity = func() bool {
		was := full
		full = false
		return was
	}
	first, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	second, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer second.Close()
	c, err := d.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if got := c.RemoteAddr().String(); got != second.LocalAddr().String() {
		t.Errorf("accepted %s, want the second connection, %s", got, second.LocalAddr())
	}
	if _, err := first.Read(make([]byte, 1)); err == nil {
		t.Error("the connection without room was not closed")
	}
}
