package fault

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// end names how reading from a connection ended.
func end(c net.Conn) string {
	_ = c.SetReadDeadline(time.Now().Add(testLimit))
	switch _, err := io.Copy(io.Discard, c); {
	case err == nil:
		return "in order"
	case errors.Is(err, syscall.ECONNRESET):
		return "reset"
	default:
		return err.Error()
	}
}

// TestEndsAreForwarded guards against a proxy that forwards a reset as an end in order or the other way round: only the first shows
// a reader that its answer is not whole.
func TestEndsAreForwarded(t *testing.T) {
	reset := func(c *net.TCPConn) { abort(c) }
	inOrder := func(c *net.TCPConn) { _ = c.Close() }
	half := func(c *net.TCPConn) { _ = c.CloseWrite() }
	for name, tt := range map[string]struct {
		rule   Rule
		target bool // the target ends the connection, and else the source
		close  func(c *net.TCPConn)
		want   string
	}{
		"reset by the target":             {target: true, close: reset, want: "reset"},
		"reset by the target, delayed":    {rule: Rule{DelayMillis: 20}, target: true, close: reset, want: "reset"},
		"reset by the target, text held":  {rule: Rule{ResetAt: "hello again"}, target: true, close: reset, want: "reset"},
		"closed by the target":            {target: true, close: inOrder, want: "in order"},
		"half closed by the target":       {target: true, close: half, want: "in order"},
		"reset by the source":             {close: reset, want: "reset"},
		"closed by the source":            {close: inOrder, want: "in order"},
		"half closed by the source":       {close: half, want: "in order"},
		"cut by a rule":                   {rule: Rule{ResetAt: "lo"}, target: true, close: half, want: "reset"},
		"cut by a rule, closing in order": {rule: Rule{ResetAt: "lo", Close: true}, target: true, close: half, want: "in order"},
	} {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer listener.Close()
			proxy := &Proxy{}
			defer proxy.Close()
			proxy.Set(tt.rule)
			if err := proxy.Open(Link{Name: "link", Listen: "127.0.0.1:0", Target: listener.Addr().String()}); err != nil {
				t.Fatal(err)
			}
			source := dial(t, "127.0.3.1", proxy.listeners[0].Addr().String()).(*net.TCPConn)
			accepted, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer accepted.Close()
			target := accepted.(*net.TCPConn)
			from, to := source, target
			if tt.target {
				from, to = target, source
			}
			if _, err := from.Write([]byte("hello")); err != nil {
				t.Fatal(err)
			}
			if tt.rule == (Rule{}) { // what was sent before a reset may be lost with it
				if _, err := io.ReadFull(to, make([]byte, len("hello"))); err != nil {
					t.Fatal(err)
				}
			}
			tt.close(from)
			if got := end(to); got != tt.want {
				t.Errorf("the connection ended %s, want %s", got, tt.want)
			}
		})
	}
}
