package fault

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// Link is one address that the proxy forwards.
type Link struct {
	Name   string `json:"name"`
	Listen string `json:"listen"` // ip:port
	Target string `json:"target"` // ip:port
}

// Count is what passed over one pair.
type Count struct {
	Link        string `json:"link"`
	Source      string `json:"source"`
	Connections int    `json:"connections"`
	Requests    int64  `json:"requests"` // bytes
	Answers     int64  `json:"answers"`  // bytes
	Resets      int    `json:"resets"`
}

// Proxy forwards its links; the zero value has none.
type Proxy struct {
	mutex     sync.Mutex
	rules     map[pair]*active
	none      active
	changed   chan struct{}
	listeners []net.Listener
	conns     map[*conn]bool
	counts    map[pair]*Count
	closed    chan struct{}
}

// Open starts to forward a link.
func (p *Proxy) Open(link Link) error {
	listener, err := net.Listen("tcp", link.Listen)
	if err != nil {
		return errors.Wrapf(err, "link %s", link.Name)
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.start()
	p.listeners = append(p.listeners, listener)
	go p.accept(listener, link)
	return nil
}

// start makes the maps; the caller holds the mutex.
func (p *Proxy) start() {
	if p.closed != nil {
		return
	}
	p.rules = map[pair]*active{}
	p.conns = map[*conn]bool{}
	p.counts = map[pair]*Count{}
	p.changed = make(chan struct{})
	p.closed = make(chan struct{})
}

// Set puts a rule in force in place of the pair's former one.
func (p *Proxy) Set(rule Rule) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.start()
	p.rules[pair{rule.Link, rule.Source}] = &active{Rule: rule, held: make(chan exchange, 1)}
	p.wake()
}

// Clear ends all rules of a link, or all rules when link is empty.
func (p *Proxy) Clear(link string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.start()
	for k := range p.rules {
		if link == "" || k.link == link {
			delete(p.rules, k)
		}
	}
	p.wake()
}

// wake lets every connection look at its rule again; the caller holds the mutex.
func (p *Proxy) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
	for c := range p.conns {
		rule := p.find(c.pair)
		if rule.Cut {
			p.reset(c)
		}
		c.dead = c.dead || rule.HalfOpen
	}
}

// find gives the rule for a pair; the caller holds the mutex.
func (p *Proxy) find(k pair) *active {
	for _, candidate := range []pair{k, {link: k.link}, {source: k.source}, {}} {
		if rule := p.rules[candidate]; rule != nil && !rule.spent() {
			return rule
		}
	}
	return &p.none
}

// look gives a connection's rule, whether the connection is dead, and a channel that closes when rules change.
func (p *Proxy) look(c *conn) (*active, bool, <-chan struct{}) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.find(c.pair), c.dead, p.changed
}

// Counts gives what passed over each pair.
func (p *Proxy) Counts() []Count {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := make([]Count, 0, len(p.counts))
	for _, c := range p.counts {
		counts = append(counts, *c)
	}
	return counts
}

// count gives the entry of a pair; the caller holds the mutex.
func (p *Proxy) count(k pair) *Count {
	if p.counts[k] == nil {
		p.counts[k] = &Count{Link: k.link, Source: k.source}
	}
	return p.counts[k]
}

// Close ends all links and connections.
func (p *Proxy) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.start()
	select {
	case <-p.closed:
		return
	default:
	}
	close(p.closed)
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range p.conns {
		p.reset(c)
	}
}
