package serve

import (
	"sync"
	"time"
)

// Limits of the platform's service.
const (
	ReadsPerSecond = 2000             // over all readers; more get status 429
	MaxValue       = 1 << 20          // bytes of one rule file
	MaxWait        = 60 * time.Second // longest watch
)

// VM is a machine on the platform's list.
type VM struct {
	Name       string `json:"name"`
	Address    string `json:"address"`
	Admin      string `json:"admin"`
	DataCentre string `json:"dataCentre"`
	Router     bool   `json:"router"`
	State      string `json:"state"` // live or leaving
}

// VMList is the body of GET /v1/vms.
type VMList struct {
	VMs []VM `json:"vms"`
}

// Reader is what one reader, known by its IP address, has called.
type Reader struct {
	Address string `json:"address"`
	Reads   int    `json:"reads"`
	Watches int    `json:"watches"`
	VMs     int    `json:"vms"`
	Refused int    `json:"refused"` // over the limit, status 429
}

// Counts is the body of GET /control/counts.
type Counts struct {
	Total       int      `json:"total"`
	Refused     int      `json:"refused"`
	PeakSecond  int      `json:"peakSecond"` // most calls in one second
	Readers     []Reader `json:"readers"`
	Newest      uint64   `json:"newest"`
	Served      uint64   `json:"served"`
	LimitSecond int      `json:"limitSecond"`
}

// Platform is the state of the stand-in; its zero value serves nothing yet.
type Platform struct {
	VMLag time.Duration // from an edit of the VM list to its being served

	mutex    sync.Mutex
	texts    map[uint64][]byte
	newest   uint64
	pinned   uint64          // version served in place of the newest; 0 for none
	down     map[string]bool // the configuration service, by reader
	listDown bool            // the list of VMs
	changed  chan struct{}
	vms      VMList
	readers  map[string]*Reader
	second   int64
	inTime   int // calls in the current second
	peak     int
}

// Publish stores a rule file as version, or as the next one when version is 0, and gives the version used.
func (p *Platform) Publish(text []byte, version uint64) uint64 {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if version == 0 {
		version = p.newest + 1
	}
	if p.texts == nil {
		p.texts = map[uint64][]byte{}
	}
	p.texts[version] = text
	p.newest = max(p.newest, version)
	p.wake()
	return version
}

// Pin serves version in place of the newest until Pin(0).
func (p *Platform) Pin(version uint64) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pinned = version
	p.wake()
}

// Freeze pins the version that is served now.
func (p *Platform) Freeze() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.pinned = p.served()
	p.wake()
}

// SetDown takes the configuration service down or up again for one reader's IP address, or for all when reader is empty.
func (p *Platform) SetDown(reader string, down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.down == nil {
		p.down = map[string]bool{}
	}
	p.down[reader] = down
	if reader == "" && !down {
		p.down = nil
	}
	p.wake()
}

// SetListDown takes the list of VMs down or up again for all readers.
func (p *Platform) SetListDown(down bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.listDown = down
}

// SetVMs replaces the list of VMs after the lag.
func (p *Platform) SetVMs(list VMList, lag time.Duration) {
	apply := func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		p.vms = list
	}
	if lag <= 0 {
		apply()
		return
	}
	time.AfterFunc(lag, apply)
}

// Counts gives the calls so far.
func (p *Platform) Counts() Counts {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	counts := Counts{PeakSecond: p.peak, Newest: p.newest, Served: p.served(), LimitSecond: ReadsPerSecond}
	for _, r := range p.readers {
		counts.Readers = append(counts.Readers, *r)
		counts.Total += r.Reads + r.Watches + r.VMs + r.Refused
		counts.Refused += r.Refused
	}
	return counts
}

func (p *Platform) served() uint64 {
	if p.pinned != 0 {
		return p.pinned
	}
	return p.newest
}

// wake ends all waiting watches so that they look again; the caller holds the mutex.
func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
}

func (p *Platform) isDown(reader string) bool { return p.down[""] || p.down[reader] }

// reader gives the entry of a reader; the caller holds the mutex.
func (p *Platform) reader(address string) *Reader {
	if p.readers == nil {
		p.readers = map[string]*Reader{}
	}
	if p.readers[address] == nil {
		p.readers[address] = &Reader{Address: address}
	}
	return p.readers[address]
}

// admit counts a call and says whether it is within the limit; the caller holds the mutex.
func (p *Platform) admit(now time.Time) bool {
	if second := now.Unix(); second != p.second {
		p.second, p.inTime = second, 0
	}
	p.inTime++
	p.peak = max(p.peak, p.inTime)
	return p.inTime <= ReadsPerSecond
}
