package sock

import "net"

// Reset closes a connection so that its peer gets an error instead of an end of the data, and drops unsent data. A connection
// that is no TCP connection is closed as usual.
func Reset(c net.Conn) error {
	if tcp, ok := c.(*net.TCPConn); ok {
		if err := tcp.SetLinger(0); err != nil {
			_ = c.Close() // the connection is already broken
			return err
		}
	}
	return c.Close()
}
