package pool

import (
	"math/rand/v2"
	"strconv"
	"time"

	"mangolug.org/core/digest"
	"mangolug.org/core/even"
	"mangolug.org/core/plain"
	"mangolug.org/core/route"
	"mangolug.org/core/speed"
)

// Pool is one router's view of the backend servers, with its queued requests. It is not safe for concurrent use.
type Pool struct {
	Self       string   // this router's name, unique in the fleet
	DataCentre string   // this router's data centre
	Joined     bool     // the peers are known, so that this router can compute its share of fleet-wide rates
	Peers      []string // names of the other live routers
	Random     *rand.Rand
	OnVersion  func(service string) // called when a service has a software version beside others; may be nil
	OnEvent    func(Event)          // called on each change in the view of a server or a subject; may be nil
	// OnEvacuation is called when a data centre is taken out of service or put back; may be nil.
	OnEvacuation func(dataCentre string, out bool)

	table        *route.Table
	servers      map[string]*backend
	services     map[string]*service
	addresses    map[string]string             // ID of the newest server at an address
	evacuated    map[string]bool               // data centres that get no new work
	restoredAt   map[string]time.Duration      // when a data centre was put back in service
	outOfService map[string]bool               // data centres that the platform lists as out of service
	outLapses    map[string]time.Duration      // until when a data centre stays out of service that the platform no longer lists
	left         map[incarnation]time.Duration // when servers went whose entries an older copy of the platform may still have
	rewinding    bool                          // the platform came back from a copy, and is being read anew
	shares       shares
	advertised   map[incarnation]*advertised // what servers advertised about themselves

	ownTimings   map[uint32]digest.Timing // this router's evidence on the servers' speeds
	ownTimingsAt time.Duration            // when it was computed

	peersVersion uint64 // number of changes of Peers

	sourceLost    bool          // the platform is unreachable
	wasRead       bool          // all servers were read from the platform at least once
	completeSince time.Duration // no server can have come and gone unseen since then
	completeFrom  time.Duration // from when on that can be relied on
	peersAt       time.Duration // when the peers' usage was last known; 0 for never
}

// service is the state of all servers of one service.
type service struct {
	name          string
	servers       []*backend    // all known servers, sorted by ID
	prefill       speed.Fit     // how fast its servers prefill prompts
	speedsAt      time.Duration // when the servers' speeds were last computed
	hold          even.HoldTime // how long requests run after their first events
	limitedUntil  time.Duration // until then a server may limit its rate
	meanPrompt    float64       // moving average of the prompt tokens of requests
	failureRate   float64       // moving failure rate over all its servers
	queue         queue
	plain         plain.Service // of a plain service
	demand        demandCounts
	suspects      suspects
	lapsed        int                      // number of servers whose entries are lapsed
	versionsGone  map[uint32]time.Duration // when a server of a software version was last seen to go
	versionsSince map[uint32]time.Duration // when the first server of a software version was seen to come; not set if that was missed
}

// Event is a change in a router's view of a server or of a subject.
type Event struct {
	Server, Service string
	Subject         string // ID of a prompt part or fingerprint of a request; empty for events of servers
	SubjectKind     SubjectKind
	Kind            string
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
	p.restoredAt = make(map[string]time.Duration)
	p.advertised = make(map[incarnation]*advertised)
	p.left = make(map[incarnation]time.Duration)
	p.outLapses = make(map[string]time.Duration)
	if p.Random == nil {
		p.Random = rand.New(rand.NewPCG(hash64(p.Self), 0))
	}
}

// Configure applies a newer configuration.
func (p *Pool) Configure(t *route.Table) {
	p.init()
	p.table = t
}

// SetServer adds or updates a server from its entry at the platform.
func (p *Pool) SetServer(now time.Duration, s Server) {
	p.init()
	b := p.servers[s.ID]
	if b != nil && !b.gone && b.sameIncarnation(&s) {
		if b.Draining != s.Draining {
			p.emit(b, "state", stateName(s.Draining))
		}
		if b.Version != s.Version {
			p.service(b.Service).leaveVersion(now, b.versionID)
		}
		if b.ended() {
			b.crash = nil // an entry without a start time doesn't tell incarnations apart
		}
		if p.rewinding && b.Draining && !s.Draining {
			b.heldUntil = now + heldGrace
		} else {
			b.heldUntil = 0
		}
		b.Server, b.lapsesAt = s, 0
		p.service(b.Service).setSuspended()
		p.addVersion(now, p.service(b.Service), b)
		if s.ColdRemaining > 0 {
			b.coldUntil = max(b.coldUntil, now+s.ColdRemaining)
		}
		return
	}
	if b != nil {
		p.drop(now, b)
	}
	if o := p.servers[p.addresses[s.Address]]; o == nil || o.Address != s.Address {
		p.addresses[s.Address] = s.ID
	} else if p.hasService(s.Service) || !p.hasService(o.Service) {
		p.addresses[s.Address] = s.ID
		p.drop(now, o)
		p.emit(o, "gone", "server "+s.ID+" has its address")
	}
	b = &backend{Server: s, runs: make(map[*Run]bool), hash: hash64(s.ID), incarnationID: s.incarnation().hash(), coldUntil: now + s.ColdRemaining, advertised: p.advertised[s.incarnation()]}
	if at, ok := p.left[s.incarnation()]; ok && p.rewinding && now-at < leftTTL {
		b.heldUntil = now + heldGrace
	}
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
	p.addVersion(now, v, b)
	p.emit(b, "seen", s.Address+", version "+strconv.Quote(s.Version))
}

// hasService reports whether a service is configured, or none is known yet. An entry of any other service must not take a server's address.
func (p *Pool) hasService(name string) bool { return p.table == nil || p.table.Service(name) != nil }

func stateName(draining bool) string {
	if draining {
		return "draining"
	}
	return "ready"
}

// RemoveServer removes a server whose entry is gone from the platform. One that a copy of the platform's state lacks is kept for a grace period.
func (p *Pool) RemoveServer(now time.Duration, id string) {
	b := p.servers[id]
	if b == nil {
		return
	}
	if p.rewinding {
		p.lapse(now, b, now, "the platform came back from a copy without its entry")
		return
	}
	p.drop(now, b)
	p.emit(b, "gone", "removed by the platform")
}

// SourceLost records that the platform is unreachable.
func (p *Pool) SourceLost(_ time.Duration) { p.sourceLost = true }

// SourceBack records that the platform is reachable, and removes the servers whose lapsed entries did not return in time.
func (p *Pool) SourceBack(now time.Duration) {
	p.init()
	if p.sourceLost {
		p.sourceLost = false
		p.extendLapses(now)
	}
	p.expire(now)
}

// expire ends the grace periods that are over.
func (p *Pool) expire(now time.Duration) {
	for _, b := range p.servers {
		if p.lapseOver(now, b) {
			p.drop(now, b)
			p.emit(b, "gone", "its entry did not come back")
		} else if b.heldUntil > 0 && now >= b.heldUntil {
			b.heldUntil = 0
			p.emit(b, "state", "its entry is still there")
		}
	}
	p.expireEvacuations(now)
}

func (p *Pool) drop(now time.Duration, b *backend) {
	b.gone = true
	p.recordLeft(now, b)
	delete(p.servers, b.ID)
	v := p.service(b.Service)
	v.leaveVersion(now, b.versionID)
	for i, o := range v.servers {
		if o == b {
			v.servers = append(v.servers[:i], v.servers[i+1:]...)
			break
		}
	}
	v.setSuspended()
}

// Servers returns the IDs of all known servers.
func (p *Pool) Servers() []string {
	ids := make([]string, 0, len(p.servers))
	for id := range p.servers {
		ids = append(ids, id)
	}
	return ids
}

// Evacuate takes a data centre out of service, or puts it back, and reports whether that is a change.
func (p *Pool) Evacuate(now time.Duration, dataCentre string, out bool) bool {
	p.init()
	if p.evacuated[dataCentre] == out {
		return false
	}
	p.evacuated[dataCentre] = out
	if !out {
		p.restoredAt[dataCentre] = now
	}
	if p.OnEvacuation != nil {
		p.OnEvacuation(dataCentre, out)
	}
	return true
}

// Evacuated returns the data centres that are out of service.
func (p *Pool) Evacuated() []string {
	var names []string
	for name, out := range p.evacuated {
		if out {
			names = append(names, name)
		}
	}
	return names
}

// Serving reports whether any server accepts new work.
func (p *Pool) Serving() bool {
	for _, b := range p.servers {
		if p.accepting(b) {
			return true
		}
	}
	return false
}

func (p *Pool) service(name string) *service {
	v := p.services[name]
	if v == nil {
		v = &service{name: name, plain: plain.Service{Phase: float64(hash64(p.Self+"/"+name)) / (1 << 64)}}
		p.services[name] = v
	}
	return v
}

func (p *Pool) emit(b *backend, what, detail string) {
	if p.OnEvent != nil {
		p.OnEvent(Event{Server: b.ID, Service: b.Service, Kind: what, Detail: detail})
	}
}
