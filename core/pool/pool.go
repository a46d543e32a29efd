package pool

import (
	"math/rand/v2"
	"time"

	"mangolug.org/core/route"
)

// Pool is one router's view of the backend servers and its waiting requests; calls must not overlap.
type Pool struct {
	Self       string   // this router's name, unique in the fleet
	DataCentre string   // of this router
	Joined     bool     // the other routers are known, so that shares of the fleet can be told
	Routers    []string // the other live routers
	Random     *rand.Rand
	Event      func(Event) // told of each change of what is believed of a server; may be nil

	table     *route.Table
	servers   map[string]*backend
	services  map[string]*service
	addresses map[string]string        // id of the newest server at an address
	evacuated map[string]bool          // data centres that get no new work
	returned  map[string]time.Duration // when a data centre came back
	shares    shares
	said      map[start]*said // what servers told of themselves

	sourceOut bool          // the platform can't be read
	heardAt   time.Duration // when it was last known what the other routers have in use; 0 for never
}

// service is what is known of all servers of one service.
type service struct {
	name    string
	servers []*backend // all that are told, in order of their ids
	rate    pace
	failing float64 // moving share of failures over all its servers
	queue   queue
	heat    heat
}

// Event is a change of what is believed of a server.
type Event struct {
	Server, Service string
	What            string
	Detail          string
}

func (p *Pool) init() {
	if p.servers != nil {
		return
	}
	p.servers = make(map[string]*backend)
	p.services = make(map[string]*service)
	p.addresses = make(map[string]string)
	p.evacuated = make(map[string]bool)
	p.returned = make(map[string]time.Duration)
	p.said = make(map[start]*said)
	if p.Random == nil {
		p.Random = rand.New(rand.NewPCG(hash64(p.Self), 0))
	}
}

// Configure takes a newer configuration in.
func (p *Pool) Configure(t *route.Table) {
	p.init()
	p.table = t
}

// Set takes in a server that the platform tells of, or tells anew.
func (p *Pool) Set(now time.Duration, s Server) {
	p.init()
	b := p.servers[s.ID]
	if b != nil && !b.gone && b.same(&s) {
		if b.Draining != s.Draining {
			p.tell(b, "state", drainingWord(s.Draining))
		}
		b.Server, b.lapses = s, 0
		if s.ColdFor > 0 {
			b.coldUntil = max(b.coldUntil, now+s.ColdFor)
		}
		return
	}
	if b != nil {
		p.drop(b)
	}
	if o := p.servers[p.addresses[s.Address]]; o != nil && o.Address == s.Address {
		p.drop(o)
		p.tell(o, "gone", "server "+s.ID+" has its address")
	}
	p.addresses[s.Address] = s.ID
	b = &backend{Server: s, hash: hash64(s.ID), coldUntil: now + s.ColdFor, said: p.said[s.start()]}
	p.servers[s.ID] = b
	v := p.service(s.Service)
	at := len(v.servers)
	for i, o := range v.servers {
		if o.ID > s.ID {
			at = i
			break
		}
	}
	v.servers = append(v.servers, nil)
	copy(v.servers[at+1:], v.servers[at:])
	v.servers[at] = b
	p.tell(b, "seen", s.Address)
}

func drainingWord(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// Remove takes in that the platform no longer tells of a server. While the platform was out of reach entries may have
// lapsed although their servers live, so these are given time to come back.
func (p *Pool) Remove(now time.Duration, id string) {
	b := p.servers[id]
	if b == nil {
		return
	}
	if p.sourceOut {
		if b.lapses == 0 {
			b.lapses = now + lapseGrace
			p.tell(b, "lapsed", "its entry went while the platform was out of reach")
		}
		return
	}
	p.drop(b)
	p.tell(b, "gone", "removed by the platform")
}

// lapseGrace is how long after the platform's return lapsed entries of live servers may take to be back.
const lapseGrace = 2200 * time.Millisecond

// SourceLost notes that the platform can't be read.
func (p *Pool) SourceLost(_ time.Duration) { p.sourceOut = true }

// SourceBack notes that the platform can be read.
func (p *Pool) SourceBack(now time.Duration) {
	p.init()
	if p.sourceOut {
		p.sourceOut = false
		for _, b := range p.servers {
			if b.lapses > 0 {
				b.lapses = now + lapseGrace
			}
		}
	}
	for _, b := range p.servers {
		if b.lapses > 0 && now >= b.lapses {
			p.drop(b)
			p.tell(b, "gone", "its entry did not come back")
		}
	}
}

func (p *Pool) drop(b *backend) {
	b.gone = true
	delete(p.servers, b.ID)
	v := p.service(b.Service)
	for i, o := range v.servers {
		if o == b {
			v.servers = append(v.servers[:i], v.servers[i+1:]...)
			break
		}
	}
}

// Servers gives the ids of all servers that are known.
func (p *Pool) Servers() []string {
	ids := make([]string, 0, len(p.servers))
	for id := range p.servers {
		ids = append(ids, id)
	}
	return ids
}

// Evacuate takes a data centre out, or back in, and reports whether that is a change.
func (p *Pool) Evacuate(now time.Duration, dataCentre string, out bool) bool {
	p.init()
	if p.evacuated[dataCentre] == out {
		return false
	}
	p.evacuated[dataCentre] = out
	if !out {
		p.returned[dataCentre] = now
	}
	return true
}

// Evacuated gives the data centres that are out.
func (p *Pool) Evacuated() []string {
	var names []string
	for name, out := range p.evacuated {
		if out {
			names = append(names, name)
		}
	}
	return names
}

// Serving reports whether any server could be sent work.
func (p *Pool) Serving() bool {
	for _, b := range p.servers {
		if p.open(b) {
			return true
		}
	}
	return false
}

func (p *Pool) service(name string) *service {
	v := p.services[name]
	if v == nil {
		v = &service{name: name}
		p.services[name] = v
	}
	return v
}

func (p *Pool) tell(b *backend, what, detail string) {
	if p.Event != nil {
		p.Event(Event{Server: b.ID, Service: b.Service, What: what, Detail: detail})
	}
}
