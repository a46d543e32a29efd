package peers

import (
	"net"

	"github.com/rcrowley/go-metrics"
)

// byteCounters counts the bytes on all links in both directions, including the overhead of TLS.
type byteCounters struct {
	sent, received metrics.Counter
}

func newByteCounters(registry metrics.Registry) byteCounters {
	return byteCounters{
		sent:     metrics.GetOrRegisterCounter("control.bytesSent", registry),
		received: metrics.GetOrRegisterCounter("control.bytesReceived", registry),
	}
}

// countingConn is a connection whose bytes are counted.
type countingConn struct {
	net.Conn
	counters byteCounters
}

// Read reads from the connection and counts the bytes received.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counters.received.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counters.sent.Inc(int64(n))
	return n, err
}

// countingListener counts the bytes of all connections that it accepts.
type countingListener struct {
	net.Listener
	counters byteCounters
}

// Accept returns the next connection, wrapped so that its bytes are counted.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, counters: l.counters}, nil
}
