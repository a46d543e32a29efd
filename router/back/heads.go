package back

import (
	"context"
	"net"
	"sync"

	"mangolug.org/core/head"
)

// DialFunc opens a connection, as in http.Transport.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// CheckHeads returns a dial function for requests without a body. Reads of its connections fail with a *head.Error where the head of an answer is malformed,
// also where net/http passes over that.
func CheckHeads(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &checkedConn{Conn: raw}, nil
	}
}

// checkedConn checks the head of the answer to each request, which begins with the first write after an answer's head.
type checkedConn struct {
	net.Conn

	mutex   sync.Mutex
	scanner head.Scanner
}

// Read reads from the connection.
func (c *checkedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if malformed := c.scanner.Scan(b[:n]); malformed != nil {
		return 0, malformed
	}
	return n, err
}

// Write writes to the connection.
func (c *checkedConn) Write(b []byte) (int, error) {
	c.mutex.Lock()
	if c.scanner.Done() {
		c.scanner = head.Scanner{}
	}
	c.mutex.Unlock()
	return c.Conn.Write(b)
}
