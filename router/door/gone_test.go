package door

import (
	"net"
	"testing"
	"time"
)

// connPair returns both ends of a TCP connection, the caller's first.
func connPair(t *testing.T) (*net.TCPConn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	caller, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { caller.Close() })
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return caller.(*net.TCPConn), c
}

func TestGone(t *testing.T) {
	tests := map[string]struct {
		does func(c *net.TCPConn)
		gone bool
	}{
		"waits":       {does: func(*net.TCPConn) {}},
		"sends more":  {does: func(c *net.TCPConn) { _, _ = c.Write([]byte("GET")) }},
		"closes":      {does: func(c *net.TCPConn) { _ = c.Close() }, gone: true},
		"resets":      {does: func(c *net.TCPConn) { _ = c.SetLinger(0); _ = c.Close() }, gone: true},
		"half closes": {does: func(c *net.TCPConn) { _ = c.CloseWrite() }, gone: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			caller, c := connPair(t)
			tt.does(caller)
			limit := time.Now().Add(time.Second)
			ctx := WithConn(t.Context(), c)
			for tt.gone && !CallerGone(ctx) && time.Now().Before(limit) {
				time.Sleep(time.Millisecond)
			}
			if got := CallerGone(ctx); got != tt.gone {
				t.Errorf("gone %t, want %t", got, tt.gone)
			}
		})
	}
}
