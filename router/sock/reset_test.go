package sock

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// TestReset guards against an end in order of a connection that is to be cut, and against losing data that had arrived before.
func TestReset(t *testing.T) {
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
		_, _ = io.WriteString(c, "part")
		_, _ = io.ReadFull(c, make([]byte, 1)) // the peer has the part now
		_ = Reset(c)
	}()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	part := make([]byte, len("part"))
	if _, err := io.ReadFull(c, part); err != nil || string(part) != "part" {
		t.Fatalf("read %q, %v", part, err)
	}
	if _, err := c.Write([]byte{0}); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(part); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("error %v, want a reset", err)
	}
}

// TestResetOfAnotherConnection guards against leaving a connection open that can't be reset.
func TestResetOfAnotherConnection(t *testing.T) {
	c, peer := net.Pipe()
	defer peer.Close()
	if err := Reset(c); err != nil {
		t.Fatal(err)
	}
	if _, err := peer.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("error %v, want the end", err)
	}
}
