package pool

import (
	"maps"
	"time"
)

const (
	// heldGrace is how long a server that left gets no work if an older copy of the platform's state still lists it. The platform removes the entry of
	// a silent server after three heartbeats of 1.2 s.
	heldGrace = 4 * time.Second
	// leftTTL is how long servers that left are remembered: longer than a copy is old.
	leftTTL = 2 * time.Minute
	// maxLeft bounds the number of servers that left and are remembered.
	maxLeft = 4096
)

// Rewound records that the platform came back from an older copy. What is read of it until ReadAnew may be older than what this router knows: servers and
// evacuations that it lacks are kept for a grace period, as they may be written again, and servers that left get no work for some time.
func (p *Pool) Rewound() {
	p.init()
	p.rewinding = true
}

// recordLeft remembers a server that left.
func (p *Pool) recordLeft(now time.Duration, b *backend) {
	p.left[b.incarnation()] = now
	if len(p.left) > maxLeft {
		maps.DeleteFunc(p.left, func(_ incarnation, at time.Duration) bool { return now-at > leftTTL })
	}
	if len(p.left) > maxLeft {
		clear(p.left)
	}
}

// SetOutOfService sets the data centres that the platform lists as out of service.
func (p *Pool) SetOutOfService(now time.Duration, names map[string]bool) {
	p.init()
	p.outOfService = maps.Clone(names)
	for name := range names {
		delete(p.outLapses, name)
		p.Evacuate(now, name, true)
	}
	for _, name := range p.Evacuated() {
		if names[name] {
			continue
		}
		if p.rewinding {
			p.outLapses[name] = now + lapseGrace
		}
		if _, lapses := p.outLapses[name]; !lapses {
			p.Evacuate(now, name, false)
		}
	}
}

// expireEvacuations puts back the data centres whose evacuation was not written again in time.
func (p *Pool) expireEvacuations(now time.Duration) {
	for name, at := range p.outLapses {
		if now >= at {
			delete(p.outLapses, name)
			p.Evacuate(now, name, p.outOfService[name])
		}
	}
}
