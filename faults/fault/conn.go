package fault

import (
	"net"
	"time"
)

const (
	pieceBytes = 32 << 10        // most bytes read at once
	queueSize  = 256             // pieces on their way in one direction
	dialLimit  = 5 * time.Second // to reach a target
)

// conn is one forwarded connection.
type conn struct {
	pair   pair
	source *net.TCPConn
	target *net.TCPConn
	dead   bool // half-open for good
	ended  chan struct{}
}

// piece is some bytes on their way; nil data is the end of the direction.
type piece struct {
	data  []byte
	reset bool // the direction ended with a reset, and not in order
	due   time.Time
}

func (p *Proxy) accept(listener net.Listener, link Link) {
	for {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}
		go p.forward(accepted.(*net.TCPConn), link)
	}
}

func (p *Proxy) forward(source *net.TCPConn, link Link) {
	address := source.RemoteAddr().(*net.TCPAddr).IP
	c := &conn{pair: pair{link.Name, address.String()}, source: source, ended: make(chan struct{})}
	rule, _, _ := p.look(c)
	if rule.Cut {
		abort(source)
		return
	}
	dialer := net.Dialer{Timeout: dialLimit}
	if address.IsLoopback() {
		dialer.LocalAddr = &net.TCPAddr{IP: address}
	}
	target, err := dialer.Dial("tcp", link.Target)
	if err != nil {
		abort(source)
		return
	}
	c.target = target.(*net.TCPConn)
	p.mutex.Lock()
	p.conns[c] = true
	p.count(c.pair).Connections++
	c.dead = p.find(c.pair).HalfOpen
	p.mutex.Unlock()
	requests := &pump{proxy: p, conn: c, from: c.source, to: c.target}
	answers := &pump{proxy: p, conn: c, from: c.target, to: c.source, answers: true}
	go requests.run()
	answers.run()
}

// reset breaks both sides of a connection; the caller holds the mutex.
func (p *Proxy) reset(c *conn) {
	if !p.conns[c] {
		return
	}
	p.count(c.pair).Resets++
	p.abort(c)
}

// abort resets both sides of a connection; the caller holds the mutex.
func (p *Proxy) abort(c *conn) {
	if !p.conns[c] {
		return
	}
	delete(p.conns, c)
	close(c.ended)
	abort(c.source)
	abort(c.target)
}

// forwardReset resets both sides of a connection after a reset by one of them.
func (p *Proxy) forwardReset(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.abort(c)
}

// abort closes a side so that its peer gets a reset.
func abort(side *net.TCPConn) {
	_ = side.SetLinger(0)
	_ = side.Close()
}

// finish closes both sides in order.
func (p *Proxy) finish(c *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if !p.conns[c] {
		return
	}
	delete(p.conns, c)
	close(c.ended)
	_ = c.source.Close()
	_ = c.target.Close()
}

// fire counts a reset or truncation against the rule's times and brings it about.
func (p *Proxy) fire(c *conn, rule *active) {
	p.mutex.Lock()
	rule.fired++
	if !rule.Close {
		p.reset(c)
	}
	p.mutex.Unlock()
	if rule.Close {
		p.finish(c)
	}
}
