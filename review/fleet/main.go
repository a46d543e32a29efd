// Command fleet plays the cases of this review: it starts routers by the command of the deploy file, before stand-ins of the platform's store and of
// engines, brings a disruption about unless TROUBLE=0, and judges what callers, engines and the store have seen.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Bounds of the users' small deployments, as in the settings on DEPLOY.md.
const (
	contact     = 3 * time.Second
	configApply = 2 * time.Second
	outer       = 5 * time.Second
	grace       = 8 * time.Second
)

const (
	host     = "review.example"
	capacity = 64 // slots of an engine
	// reportLag is the age of an engine's report, as report_lag_ms in the site file.
	reportLag = 200 * time.Millisecond
	// restartDelay is the time from a router's end to its next start.
	restartDelay = time.Second
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: fleet engine|CASE [ARGS]")
		os.Exit(exitNotRun)
	}
	if os.Args[1] == "engine" {
		engineMain(os.Args[2:])
		return
	}
	cases := map[string]func(*play){
		"cut-answer": cutAnswer, "versions": versions, "rewind": rewind, "compacted": compacted, "rolled": rolled, "all-killed": allKilled, "paths": paths,
	}
	run := cases[os.Args[1]]
	if run == nil || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "usage: fleet CASE RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(run, os.Args[2]))
}

// play is one run of a case.
type play struct {
	trouble bool
	dir     string
	network byte // second byte of all addresses, 127.N.0.x
	lastIP  int
	began   time.Time

	mutex  sync.Mutex
	record *bufio.Writer

	store   *store
	routers []*router
	engines []*engine
	broken  bool
}

// notRun ends a case that can't be played.
type notRun struct{ reason string }

func playCase(run func(*play), path string) (code int) {
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "mangolug-review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	p := &play{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), record: bufio.NewWriter(file)}
	defer func() {
		p.endAll()
		if r := recover(); r != nil {
			reason, ok := r.(notRun)
			if !ok {
				panic(r)
			}
			p.note("not run: %s", reason.reason)
			code = exitNotRun
		}
		p.mutex.Lock()
		_ = p.record.Flush()
		p.mutex.Unlock()
	}()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		p.endAll()
		os.Exit(exitNotRun)
	}()
	p.network = freeNetwork()
	p.note("trouble: %t", p.trouble)
	run(p)
	if p.broken {
		p.note("result: the rule is broken")
		return exitBroken
	}
	p.note("result: the rule held")
	return exitHeld
}

// need ends the case as not run unless err is nil.
func need(err error) {
	if err != nil {
		panic(notRun{err.Error()})
	}
}

// note adds a line to the record.
func (p *play) note(format string, args ...any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	line := fmt.Sprintf("%8.3f %s", time.Since(p.began).Seconds(), fmt.Sprintf(format, args...))
	fmt.Fprintln(p.record, line)
	fmt.Println(line)
}

func (p *play) endAll() {
	for _, r := range p.routers {
		r.kill()
	}
	for _, e := range p.engines {
		e.kill()
	}
}

// lock keeps the network of this process reserved.
var lock net.Listener

func freeNetwork() byte {
	for i := range 200 {
		n := 20 + (os.Getpid()+i)%200
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:8799", n))
		if err == nil {
			lock = l
			return byte(n)
		}
	}
	panic(notRun{"no free loopback network"})
}

func (p *play) newIP() string {
	p.lastIP++
	return fmt.Sprintf("127.%d.1.%d", p.network, p.lastIP)
}

// starts carries calls to the one thread that starts processes: the system ends a child when the thread that started it ends.
var starts = sync.OnceValue(func() chan func() {
	calls := make(chan func())
	go func() {
		runtime.LockOSThread()
		for call := range calls {
			call()
		}
	}()
	return calls
})

// process is a program that the case started.
type process struct {
	mutex   sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

func (q *process) start(log string, env []string, name string, args ...string) {
	output, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	need(err)
	defer output.Close()
	c := exec.Command(name, args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	c.Stdout, c.Stderr = output, output
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // ends with this process
	started := make(chan error)
	starts() <- func() { started <- c.Start() }
	need(<-started)
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	q.mutex.Lock()
	q.command, q.ended = c, ended
	q.mutex.Unlock()
}

func (q *process) kill() {
	q.mutex.Lock()
	c, ended := q.command, q.ended
	q.mutex.Unlock()
	if c != nil {
		_ = c.Process.Kill()
		<-ended
	}
}

// router is a process of the users' program.
type router struct {
	process
	name, zone, ip, front string
	settings              string // path of its settings file
}

var zones = []string{"faisalabad", "lahore", "multan"}

// startRouters starts routers with the store's address for each, and waits until all are ready and know each other.
func (p *play) startRouters(stores ...string) {
	for i := range stores {
		r := &router{name: fmt.Sprintf("front-%s-1", zones[i%len(zones)]), zone: zones[i%len(zones)], ip: p.newIP()}
		r.front = r.ip + ":8783"
		p.routers = append(p.routers, r)
	}
	var seeds []string
	for _, r := range p.routers {
		seeds = append(seeds, strconv.Quote(r.ip+":8785"))
	}
	for i, r := range p.routers {
		r.settings = filepath.Join(p.dir, r.name+".toml")
		need(os.WriteFile(r.settings, []byte(settings(r, strings.Join(seeds, ","), stores[i])), 0o600))
		r.begin(p)
	}
	for _, r := range p.routers {
		p.awaitReady(r)
	}
	time.Sleep(2 * time.Second)
	p.note("%d routers are ready", len(p.routers))
}

// begin starts the program of the deploy file.
func (r *router) begin(p *play) {
	r.start(filepath.Join(p.dir, r.name+".log"), []string{"MANGOLUG_NODE_FILE=" + r.settings}, "target/platform")
}

func (p *play) awaitReady(r *router) {
	p.wait(30*time.Second, r.name+" is ready", func() bool {
		response, err := http.Get("http://" + r.ip + ":8780/-/readiness")
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
}

// startRouter starts a router again after a short delay.
func (p *play) startRouter(r *router) {
	time.Sleep(restartDelay)
	r.begin(p)
	p.awaitReady(r)
	p.note("%s is back and ready", r.name)
}

// stop stops a router as the platform does: SIGTERM, and SIGKILL after GraceS.
func (p *play) stop(r *router) {
	r.mutex.Lock()
	c, ended := r.command, r.ended
	r.mutex.Unlock()
	p.note("SIGTERM to %s", r.name)
	need(c.Process.Signal(syscall.SIGTERM))
	select {
	case <-ended:
	case <-time.After(grace):
		_ = c.Process.Kill()
		<-ended
	}
	p.note("%s has ended", r.name)
}

// wait waits for a condition that the case needs.
func (p *play) wait(limit time.Duration, what string, done func() bool) {
	for until := time.Now().Add(limit); !done(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			panic(notRun{"no sign that " + what})
		}
	}
}

// settings returns the settings file of a router, with the figures of the users' small deployments.
func settings(r *router, seeds, store string) string {
	return fmt.Sprintf(`NodeName = %q
Role = "router"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "punjab"
InnerPorts = [7400,7415]
Seeds = [%s]
Bootstrap = true
LossCounts = false
Discovery = "platform"
Entry = "virtual_ip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform"]
[Zones]
faisalabad = "punjab"
lahore = "punjab"
multan = "punjab"
[Listen]
Front = "%[2]s:8783"
ReadinessAddress = "%[2]s:8780"
Control = "%[2]s:8785"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 134
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
[Tolerate]
Machines = 2
Zones = 1
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RollbackSlackMs = 250
OuterMs = 5000
FailClosed = false
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
RetryBudgetSlack = 58
ColdOverrun = 1.5
ColdSlack = 5
EvacuationMs = 5000
RecoveryS = 12
PassMs = 120
ReuseWindowS = 7.1
QuotaWindowS = 4
[Platform]
Address = %[5]q
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`, r.name, r.ip, r.zone, seeds, store)
}

// ---- the platform's store ----

type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

type page struct {
	Items         []item `json:",omitempty"`
	Events        []item `json:"events,omitempty"`
	HasMore       bool
	StoreRevision int64
}

// store stands in for the platform's store.
type store struct {
	play    *play
	address string

	mutex    sync.Mutex
	era      int
	away     bool
	deaf     bool  // watches hear nothing
	oldest   int64 // the history is kept from here on
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	server   *http.Server
}

// state is a copy of a store.
type state struct {
	revision int64
	items    map[string]item
	history  []item
	at       time.Time
}

func (p *play) startStore() {
	s := &store{play: p, address: p.newIP() + ":8781", era: 1, revision: 400, items: map[string]item{}, changed: make(chan struct{})}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second}
	l, err := net.Listen("tcp", s.address)
	need(err)
	go func() { _ = s.server.Serve(l) }()
	p.store = s
}

// write writes an item, or deletes it if the value is nil, and returns the revision.
func (s *store) write(key string, value any) int64 {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := item{Key: key, Deleted: value == nil}
	if value != nil {
		text, err := json.Marshal(value)
		need(err)
		i.Value = text
	}
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if before, ok := s.items[key]; ok {
		i.Created = before.Created
	}
	if i.Deleted {
		delete(s.items, key)
	} else {
		s.items[key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	s.play.note("store: era %d, revision %d acknowledged for %s (%d bytes, deleted %t)", s.era, s.revision, key, len(i.Value), i.Deleted)
	return s.revision
}

func (s *store) copy() state {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return state{s.revision, maps.Clone(s.items), slices.Clone(s.history), time.Now()}
}

// leave makes the store answer nothing but 503, as one that is away for a moment.
func (s *store) leave() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = true
	close(s.changed)
	s.changed = make(chan struct{})
	s.play.note("store: away at revision %d", s.revision)
}

// comeBack makes the store serve again, from a copy.
func (s *store) comeBack(from state) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.away = false
	s.era++
	lost := s.revision
	s.revision, s.items, s.history = from.revision, from.items, from.history
	s.play.note("store: back from a copy that is %.1f s old, era %d, revision %d (was %d)", time.Since(from.at).Seconds(), s.era, s.revision, lost)
}

// compact lets watches hear nothing for a second while changes are made, and then drops the history and cuts them.
func (s *store) compact(change func()) {
	s.mutex.Lock()
	s.deaf = true
	s.mutex.Unlock()
	s.play.note("store: watches hear nothing")
	change()
	time.Sleep(time.Second)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.deaf, s.oldest, s.history = false, s.revision, nil
	close(s.changed)
	s.changed = make(chan struct{})
	s.play.note("store: the history up to revision %d is dropped", s.oldest)
}

// ServeHTTP answers the calls of the store's page.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mutex.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	if s.away {
		s.mutex.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	p := page{StoreRevision: s.revision}
	switch r.URL.Path {
	case "/-/kv-range":
		for _, key := range slices.Sorted(maps.Keys(s.items)) {
			if key > query.Get("After") && strings.HasPrefix(key, query.Get("PathPrefix")) {
				p.Items = append(p.Items, s.items[key])
			}
		}
		s.mutex.Unlock()
	case "/-/kv-watch":
		s.mutex.Unlock()
		after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(query.Get("WaitMs"))
		status := 0
		if p, status = s.watch(r, query.Get("PathPrefix"), after, time.Duration(min(wait, 30000))*time.Millisecond); status != http.StatusOK {
			w.WriteHeader(status)
			return
		}
	default:
		s.mutex.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(p)
}

func (s *store) watch(r *http.Request, prefix string, after int64, wait time.Duration) (page, int) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for last := false; ; {
		s.mutex.Lock()
		p, changed, away := page{StoreRevision: s.revision}, s.changed, s.away
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, prefix) {
				p.Events = append(p.Events, i)
			}
		}
		gone := after > s.revision || after < s.oldest
		if s.deaf {
			p.Events, p.StoreRevision, gone = nil, min(after, s.revision), false
		}
		s.mutex.Unlock()
		switch {
		case away:
			return p, http.StatusServiceUnavailable
		case gone:
			return p, http.StatusGone
		case last || len(p.Events) > 0:
			return p, http.StatusOK
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return p, http.StatusOK
		}
	}
}

// ---- engines ----

// engine is a stand-in of an engine as a process of its own.
type engine struct {
	process
	play                       *play
	id, service, zone, version string
	listen, address            string // of the process, and as it stands in its entry
	model                      bool
	log                        string
}

// newEngine makes an engine that is reached through its own address.
func (p *play) newEngine(id, service, version string, model bool) *engine {
	address := p.newIP() + ":8790"
	e := &engine{play: p, id: id, service: service, zone: zones[len(p.engines)%len(zones)], version: version, listen: address, address: address, model: model}
	e.log = filepath.Join(p.dir, id+".log")
	p.engines = append(p.engines, e)
	return e
}

// run starts the engine's process, waits until it answers, and returns the time of its start.
func (e *engine) run() int64 {
	e.start(e.log, nil, os.Args[0], "engine", e.listen, e.id, e.service, e.version)
	var born int64
	e.play.wait(10*time.Second, e.id+" answers", func() bool {
		response, err := http.Get("http://" + e.listen + "/health")
		if err != nil {
			return false
		}
		defer response.Body.Close()
		var says struct {
			Born int64 `json:"born"`
		}
		err = json.NewDecoder(response.Body).Decode(&says)
		born = says.Born
		return err == nil
	})
	return born
}

// publish writes the engine's entry.
func (e *engine) publish(born int64) { e.write(born, "ready") }

// drain writes that the engine is about to leave.
func (e *engine) drain(born int64) { e.write(born, "draining") }

func (e *engine) write(born int64, state string) {
	entry := map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": capacity, "State": state,
		"ColdRemainingMs": 0, "Sequence": 1, "born": born,
	}
	if e.model {
		entry["Stage"], entry["Models"] = "both", []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}}
	}
	e.play.store.write("servers/"+e.id, entry)
}

// runs returns the lines in which the engine tells what it ran.
func (e *engine) runs() []string {
	text, err := os.ReadFile(e.log)
	need(err)
	return strings.Split(strings.TrimSpace(string(text)), "\n")
}

// engineMain serves as an engine: LISTEN ID SERVICE VERSION.
func engineMain(args []string) {
	listen, id, version := args[0], args[1], args[3]
	born := time.Now().UnixMilli()
	var running, runs atomic.Int64
	var open sync.Map // ids of the requests that run
	var reported atomic.Pointer[[]any]
	reported.Store(&[]any{})
	go func() { // reports show the state of some hundred ms ago
		for {
			list := []any{}
			open.Range(func(id, _ any) bool {
				list = append(list, []any{id, 100, 1, 1})
				return true
			})
			time.Sleep(reportLag)
			reported.Store(&list)
		}
	}()
	says := func(w http.ResponseWriter, more map[string]any) {
		w.Header().Set("Content-Type", "application/json")
		more["born"] = born
		_ = json.NewEncoder(w).Encode(more)
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", running.Load(), capacity))
		target := r.Header.Get("Target-Instance")
		request := r.Header.Get("Request-Id")
		if request != "" {
			w.Header().Set("Request-Id", request)
		}
		switch {
		case target != "" && target != id:
			w.Header().Set("Instance-Id", id)
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
		case r.URL.Path == "/health":
			w.Header().Set("Instance-Id", id)
			says(w, map[string]any{})
		case r.URL.Path == "/-/report":
			list := *reported.Load()
			says(w, map[string]any{"Stage": "both", "Running": len(list), "Waiting": 0, "Runs": list})
		case request == "":
			w.Header().Set("Not-Executed", "1")
			w.WriteHeader(http.StatusBadRequest)
		default:
			running.Add(1)
			defer running.Add(-1)
			open.Store(request, true)
			defer open.Delete(request)
			run := fmt.Sprintf("%s.%d.%d@%s", id, born, runs.Add(1), version)
			fmt.Printf("ran run=%s request=%s method=%s target=%s host=%s path=%s tenant=%s after=%s\n", run, request, r.Method, r.RequestURI, r.Host, r.URL.Path, r.Header.Get("Tenant"), r.Header.Get("Last-Event-Id"))
			w.Header().Set("Response-Signature", run)
			answer(w, r, run)
		}
	})
	server := &http.Server{Addr: listen, Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	fmt.Println("ended:", server.ListenAndServe())
	os.Exit(1)
}

// answer answers as the query says: kind=stream|whole|unframed, n parts, one each gap milliseconds.
func answer(w http.ResponseWriter, r *http.Request, run string) {
	_, _ = io.Copy(io.Discard, r.Body)
	query := r.URL.Query()
	n, _ := strconv.Atoi(query.Get("n"))
	gap, _ := strconv.Atoi(query.Get("gap"))
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	part := func(i int) string { return fmt.Sprintf("part %d of %d run=%s\n", i, n, run) }
	out := func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	w.Header().Set("Content-Type", "text/plain")
	switch query.Get("kind") {
	case "stream":
		w.Header().Set("Content-Type", "text/event-stream")
		line := part
		part = func(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n", i, line(i)) }
	case "unframed":
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\n")
		_ = w.Header().Write(&head)
		head.WriteString("Connection: close\r\n\r\n")
		if _, err := io.WriteString(conn, head.String()); err != nil {
			return
		}
		out = func(text string) error {
			_, err := io.WriteString(conn, text)
			return err
		}
	}
	for i := after + 1; i <= n; i++ {
		if i > after+1 {
			select {
			case <-time.After(time.Duration(gap) * time.Millisecond):
			case <-r.Context().Done(): // its connection is closed; not seen on one that is taken over
				return
			}
		}
		if out(part(i)) != nil {
			return
		}
	}
}

// ---- links ----

// link is a proxy before a target; a cut link holds all bytes and new connections, or resets them.
type link struct {
	address, target string

	mutex  sync.Mutex
	cut    chan struct{} // closed when the cut ends; nil while there is none
	resets bool
	conns  map[net.Conn]bool
}

func (p *play) newLink(target string) *link {
	l := &link{address: p.newIP() + ":8790", target: target, conns: map[net.Conn]bool{}}
	listener, err := net.Listen("tcp", l.address)
	need(err)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c.(*net.TCPConn))
		}
	}()
	return l
}

// hold cuts the link silently: bytes on it arrive once it is healed.
func (l *link) hold() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = make(chan struct{})
}

// reset cuts the link with resets.
func (l *link) reset() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.resets = true
	for c := range l.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (l *link) heal() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.cut != nil {
		close(l.cut)
	}
	l.cut, l.resets = nil, false
}

// pass waits while the link is cut silently.
func (l *link) pass() {
	l.mutex.Lock()
	cut := l.cut
	l.mutex.Unlock()
	if cut != nil {
		<-cut
	}
}

func (l *link) serve(c *net.TCPConn) {
	l.mutex.Lock()
	resets := l.resets
	l.conns[c] = true
	l.mutex.Unlock()
	defer func() {
		l.mutex.Lock()
		delete(l.conns, c)
		l.mutex.Unlock()
		_ = c.Close()
	}()
	if resets {
		_ = c.SetLinger(0)
		return
	}
	l.pass()
	raw, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		_ = c.SetLinger(0)
		return
	}
	t := raw.(*net.TCPConn)
	defer t.Close()
	done := make(chan bool, 2)
	copyOne := func(to, from *net.TCPConn) {
		buffer := make([]byte, 4096)
		for {
			n, err := from.Read(buffer)
			l.pass()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					break
				}
			}
			if errors.Is(err, io.EOF) {
				_ = to.CloseWrite()
				break
			}
			if err != nil {
				_ = to.SetLinger(0)
				_ = to.Close()
				break
			}
		}
		done <- true
	}
	go copyOne(t, c)
	go copyOne(c, t)
	<-done
	<-done
}

// ---- clients ----

// got is what a client has of one attempt.
type got struct {
	id       string
	status   int
	header   http.Header
	body     string
	complete bool // the answer ended as complete
	err      error
}

var attempts atomic.Int64

// ask sends one attempt to a router on a new connection.
func (p *play) ask(r *router, method, target string, deadline time.Duration, headers map[string]string) got {
	g := got{id: fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(attempts.Add(1)))}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}, Timeout: deadline}
	q, err := http.NewRequest(method, "http://"+r.front+target, nil)
	need(err)
	q.Host = host
	q.Header.Set("Request-Id", g.id)
	q.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	for name, value := range headers {
		q.Header.Set(name, value)
	}
	response, err := client.Do(q)
	if err != nil {
		g.err = err
		return g
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	g.status, g.header, g.body, g.complete, g.err = response.StatusCode, response.Header, string(body), err == nil, err
	return g
}

// lastLine returns the last line of a text.
func lastLine(text string) string {
	text = strings.TrimSpace(text)
	return text[strings.LastIndex(text, "\n")+1:]
}

// ---- configurations ----

type tenant struct {
	Name    string
	ApiKeys []string
}

func configuration(version int, routes []map[string]any, services []map[string]any, tenants []tenant) map[string]any {
	c := map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 230000},
	}
	if tenants != nil {
		c["Tenants"] = tenants
	}
	return c
}

func route(name, kind, service string, attempts, timeout int, more map[string]any) map[string]any {
	r := map[string]any{
		"Name": name, "Host": host, "PathPrefix": "/" + name + "/", "Kind": kind, "Service": service, "Attempts": attempts, "TimeoutMs": timeout,
		"LatencyTargetMs": 600, "Priority": 1, "Public": false,
	}
	maps.Copy(r, more)
	return r
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/health", "ConnectionLimit": 370, "Protocol": "h1", "Tls": false, "ColdStartS": 0.0, "ColdPerS": 0.0}
}

func modelService(name string) map[string]any {
	s := plainService(name)
	s["Engine"] = map[string]any{"Slots": capacity, "KvCacheTokens": 264579, "KvTokenBytes": 163840, "LinkMbps": 550000.0, "Stride": 4, "Models": []any{map[string]any{"Name": "m"}}}
	return s
}

// ---- cases ----

// cutAnswer: one of three engines, whose answers have no length, is cut off for a moment, crashes behind the cut and starts again under its id.
func cutAnswer(p *play) {
	const cutFor, parts, gap = 1200 * time.Millisecond, 8, 60
	p.startStore()
	p.store.write("op/config", configuration(7, []map[string]any{
		route("track", "safe", "desk", 2, 4000, nil), route("post", "unsafe", "desk", 1, 4000, nil),
	}, []map[string]any{plainService("desk")}, nil))
	for i := range 3 {
		p.newEngine(fmt.Sprintf("i-desk-%d", i+1), "desk", "v1", false)
	}
	e := p.engines[0]
	l := p.newLink(e.listen)
	e.address = l.address
	for _, each := range p.engines {
		each.publish(each.run())
	}
	p.startRouters(p.store.address)
	for round := range 3 {
		var answers sync.WaitGroup
		for i := range 12 {
			answers.Go(func() {
				method, path := http.MethodGet, "/track/"
				if i%2 == 1 {
					method, path = http.MethodPost, "/post/"
				}
				target := fmt.Sprintf("%s%d-%d?kind=unframed&n=%d&gap=%d", path, round, i, parts, gap)
				p.note("sent %s %s", method, target)
				g := p.ask(p.routers[0], method, target, 4*time.Second, nil)
				p.note("answered %s: request %s, status %d, signed %q, ends as complete %t, last line %q, error %v", target, g.id, g.status, g.header.Get("Response-Signature"), g.complete, lastLine(g.body), g.err)
				if g.status/100 != 2 || !g.complete {
					return
				}
				if lines := strings.Count(g.body, "\n"); lines != parts {
					p.note("BROKEN: MIXED: request %s got a success that ends as complete with %d of %d parts", g.id, lines, parts)
					p.broken = true
				}
			})
		}
		time.Sleep(parts * gap * time.Millisecond / 2)
		if p.trouble {
			l.hold()
			p.note("the link to engine %s is cut", e.id)
			time.Sleep(100 * time.Millisecond)
			e.kill()
			born := e.run()
			p.note("engine %s crashed and started again, born %d", e.id, born)
			e.publish(born)
			time.Sleep(cutFor - 100*time.Millisecond)
			l.heal()
			p.note("the link to engine %s is healed", e.id)
		}
		answers.Wait()
		time.Sleep(5 * time.Second)
	}
	for _, each := range p.engines {
		for _, line := range each.runs() {
			p.note("engine %s: %s", each.id, line)
		}
	}
}

// versions: a router that the store turns away misses that a second software version has joined, and goes on with streams of it at the first.
func versions(p *play) {
	const parts, gap, streams = 14, 300, 120
	p.startStore()
	config := func(version, idle int) map[string]any {
		routes := []map[string]any{route("note", "streaming", "llm", 2, 5000, map[string]any{"Resumable": true, "GapTargetMs": 500, "StickySessions": true})}
		for i := range idle {
			routes = append(routes, route(fmt.Sprintf("idle-%d", i), "safe", "llm", 2, 4000, nil))
		}
		return configuration(version, routes, []map[string]any{modelService("llm")}, nil)
	}
	p.store.write("op/config", config(7, 0))
	for i := range 4 {
		e := p.newEngine(fmt.Sprintf("i-old-%d", i+1), "llm", "v1", true)
		e.publish(e.run())
	}
	l := p.newLink(p.store.address)
	p.startRouters(p.store.address, p.store.address, l.address)
	time.Sleep(11 * time.Second) // streams of routes with this timeout are taken up again within 10 s
	if p.trouble {
		l.reset()
		p.note("the store turns %s away", p.routers[2].name)
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	p.store.write("op/config", config(9, 350))
	time.Sleep(700 * time.Millisecond)
	added := p.newEngine("i-new-1", "llm", "v2", true)
	added.publish(added.run())
	time.Sleep(2500 * time.Millisecond)
	var clients sync.WaitGroup
	var joined atomic.Int64
	for i := range streams {
		clients.Go(func() {
			r := p.stream(fmt.Sprintf("/note/%d?kind=stream&n=%d&gap=%d", i, parts, gap), i, 0)
			if len(r.versions) > 1 {
				p.note("BROKEN: ORDER: the stream of client %d holds events of software versions %v", i, r.versions)
				joined.Add(1)
			}
		})
	}
	time.Sleep(1500 * time.Millisecond)
	if p.trouble {
		p.routers[0].kill()
		p.note("%s is killed, %.1f s after the cut", p.routers[0].name, time.Since(cutAt).Seconds())
	}
	clients.Wait()
	l.heal()
	p.note("the store serves %s again, %.1f s after the cut; %d streams hold events of two versions", p.routers[2].name, time.Since(cutAt).Seconds(), joined.Load())
	p.broken = joined.Load() > 2
	for _, e := range p.engines {
		for _, line := range e.runs() {
			p.note("engine %s (%s): %s", e.id, e.version, line)
		}
	}
}

// streamed is what a client has of a stream over all its attempts.
type streamed struct {
	versions []string // software versions of the engines of its events
	again    bool     // it was taken up again after its first event
	wentOn   bool     // an attempt that took it up brought an event, or its end
	whole    bool
}

// stream reads a stream at a router and takes it up again at the third one.
func (p *play) stream(target string, client, first int) streamed {
	var result streamed
	last, began := 0, ""
	until := time.Now().Add(15 * time.Second)
	for attempt := 0; attempt < 6 && time.Until(until) > 100*time.Millisecond; attempt++ {
		r := p.routers[first]
		if attempt > 0 {
			r = p.routers[2]
		}
		headers := map[string]string{
			"Model": "m", "Token-Counts": "300,80", "Prompt-Prefix": fmt.Sprintf("%x:100,%x:200", 0x5c1e0000+client, 0x91bd0000+client),
		}
		from := last
		if from > 0 {
			headers["Last-Event-Id"], headers["Resumes"] = strconv.Itoa(from), began
			result.again = true
		}
		p.note("client %d: sent to %s after event %d", client, r.name, from)
		g := p.ask(r, http.MethodPost, target, time.Until(until), headers)
		for event := range strings.SplitSeq(g.body, "\n\n") {
			id, data, ok := strings.Cut(strings.TrimPrefix(event, "id: "), "\ndata: ")
			if !ok {
				continue
			}
			last, _ = strconv.Atoi(id)
			if began == "" {
				began = g.id
			}
			if _, version, ok := strings.Cut(strings.TrimSpace(data), "@"); ok && !slices.Contains(result.versions, version) {
				result.versions = append(result.versions, version)
			}
		}
		if g.status != http.StatusOK {
			last = from // a refusal has no events
		}
		result.whole = g.status == http.StatusOK && g.complete
		result.wentOn = result.wentOn || from > 0 && (last > from || result.whole)
		p.note("client %d: request %s at %s: status %d, signed %q, Retry-After %q, last event %d, ends as complete %t, error %v", client, g.id, r.name, g.status, g.header.Get("Response-Signature"), g.header.Get("Retry-After"), last, g.complete, g.err)
		if result.whole {
			break
		}
		pause := 20 * time.Millisecond
		if g.status == 0 && g.err != nil && from > 0 {
			pause = time.Second // no router takes connections
		}
		if seconds, err := strconv.ParseFloat(g.header.Get("Retry-After"), 64); err == nil {
			pause = min(time.Duration(seconds*float64(time.Second)), time.Until(until)/3)
		}
		time.Sleep(pause)
	}
	return result
}

// longStreams starts a fleet of three routers and four engines of one version, and runs for so long that routers don't tell each other of streams.
func longStreams(p *play) (config func(version, idle int) map[string]any) {
	p.startStore()
	config = func(version, idle int) map[string]any {
		routes := []map[string]any{route("note", "streaming", "llm", 2, 15000, map[string]any{"Resumable": true, "GapTargetMs": 500, "StickySessions": true})}
		for i := range idle {
			routes = append(routes, route(fmt.Sprintf("idle-%d", i), "safe", "llm", 2, 4000, nil))
		}
		return configuration(version, routes, []map[string]any{modelService("llm")}, nil)
	}
	p.store.write("op/config", config(7, 0))
	for i := range 4 {
		e := p.newEngine(fmt.Sprintf("i-llm-%d", i+1), "llm", "v1", true)
		e.publish(e.run())
	}
	p.startRouters(p.store.address, p.store.address, p.store.address)
	time.Sleep(32 * time.Second)
	return config
}

// resumed counts streams that clients take up again, and new streams at the same router.
type resumed struct {
	clients                         sync.WaitGroup
	again, wentOn, fresh, newStarts atomic.Int64
}

// begin starts streams of 12 s at the first router.
func (c *resumed) begin(p *play, streams int) {
	for i := range streams {
		c.clients.Go(func() {
			r := p.stream(fmt.Sprintf("/note/%d?kind=stream&n=40&gap=300", i), i, 0)
			if r.again {
				c.again.Add(1)
			}
			if r.wentOn {
				c.wentOn.Add(1)
			}
		})
	}
}

// beginNew starts short streams at the router at which the others are taken up.
func (c *resumed) beginNew(p *play, streams int) {
	for i := range streams {
		c.clients.Go(func() {
			c.fresh.Add(1)
			if r := p.stream(fmt.Sprintf("/note/new-%d?kind=stream&n=5&gap=100", i), 1000+i, 2); len(r.versions) > 0 {
				c.newStarts.Add(1)
			}
		})
	}
}

// judge waits for all streams and judges LOST.
func (c *resumed) judge(p *play) {
	c.clients.Wait()
	again, wentOn, fresh, newStarts := c.again.Load(), c.wentOn.Load(), c.fresh.Load(), c.newStarts.Load()
	p.note("%d streams were taken up again at %s, %d of them went on; %d of %d new streams began there", again, p.routers[2].name, wentOn, newStarts, fresh)
	if again >= 12 && float64(wentOn)/float64(again) < float64(newStarts)/float64(fresh)/2 {
		p.note("BROKEN: LOST: the share of streams that go on is under half of the share of new streams that begin")
		p.broken = true
	}
	for _, e := range p.engines {
		for _, line := range e.runs() {
			p.note("engine %s (%s): %s", e.id, e.version, line)
		}
	}
}

// compacted: the store forgets its history, and some seconds later a router is killed whose streams began before that. TROUBLE=kill leaves the
// first out.
func compacted(p *play) {
	var c resumed
	config := longStreams(p)
	c.begin(p, 24)
	time.Sleep(time.Second)
	if p.trouble && os.Getenv("TROUBLE") != "kill" {
		p.store.compact(func() { p.store.write("op/config", config(9, 2)) })
	} else {
		p.store.write("op/config", config(9, 2))
		time.Sleep(time.Second)
	}
	time.Sleep(contact + 1500*time.Millisecond)
	if p.trouble {
		p.routers[0].kill()
		p.note("%s is killed", p.routers[0].name)
	}
	c.beginNew(p, 24)
	c.judge(p)
}

// allKilled: all routers are killed and come back, and clients take their streams up again.
func allKilled(p *play) {
	var c resumed
	longStreams(p)
	c.begin(p, 24)
	time.Sleep(2 * time.Second)
	if p.trouble {
		for _, r := range p.routers {
			r.kill()
		}
		p.note("all routers are killed")
		time.Sleep(500 * time.Millisecond)
		for _, r := range p.routers {
			r.begin(p)
		}
		for _, r := range p.routers {
			p.awaitReady(r)
		}
		p.note("all routers are back")
		time.Sleep(contact + 500*time.Millisecond)
	}
	c.beginNew(p, 24)
	c.judge(p)
}

// rolled: two routers are stopped and started in turn, the third is stopped and leaves, and clients take up the streams that it cuts at the end of
// its grace. TROUBLE=last stops only the third.
func rolled(p *play) {
	var c resumed
	longStreams(p)
	if p.trouble && os.Getenv("TROUBLE") != "last" {
		for _, r := range []*router{p.routers[2], p.routers[1]} {
			p.stop(r)
			p.startRouter(r)
			time.Sleep(time.Second)
		}
	}
	c.begin(p, 24)
	time.Sleep(contact)
	if p.trouble {
		p.stop(p.routers[0]) // it leaves for good
	}
	c.beginNew(p, 24)
	c.judge(p)
}

// paths: clients without a key use a public route, with paths that begin with an empty segment.
func paths(p *play) {
	p.startStore()
	p.store.write("op/config", configuration(7, []map[string]any{
		route("labels", "unsafe", "desk", 1, 4000, map[string]any{"PathPrefix": "/", "Public": true}),
		route("orders", "unsafe", "desk", 1, 4000, map[string]any{"Host": "orders.example", "PathPrefix": "/orders/"}),
	}, []map[string]any{plainService("desk")}, []tenant{{"ash", []string{"key-ash-1"}}}))
	for i := range 2 {
		e := p.newEngine(fmt.Sprintf("i-desk-%d", i+1), "desk", "v1", false)
		e.publish(e.run())
	}
	p.startRouters(p.store.address, p.store.address)
	for i := range 10 {
		target := fmt.Sprintf("/labels/%d?kind=whole&n=1", i)
		if p.trouble && i%2 == 1 {
			target = fmt.Sprintf("//orders.example/orders/%d?kind=whole&n=1", i)
		}
		id := fmt.Sprintf("%016x", uint64(0x9c41d07b00000000)+uint64(attempts.Add(1)))
		status := p.post(p.routers[i%2], target, id)
		ran := ""
		for _, e := range p.engines {
			for _, line := range e.runs() {
				if strings.Contains(line, " request="+id+" ") {
					ran = line
				}
			}
		}
		p.note("sent POST %s to host %s as request %s; answered: %s; engine: %s", target, host, id, status, ran)
		if ran != "" && !strings.Contains(ran, " target="+target+" ") {
			p.note("BROKEN: UNASKED: request %s runs with its path changed", id)
			p.broken = true
		}
	}
}

// post sends a request without a key, with a target as it stands, and returns the answer's status line.
func (p *play) post(r *router, target, id string) string {
	c, err := net.Dial("tcp", r.front)
	need(err)
	defer c.Close()
	need(c.SetDeadline(time.Now().Add(5 * time.Second)))
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: 4000\r\nContent-Length: 0\r\nConnection: close\r\n\r\n", target, host, id)
	need(err)
	text, _ := io.ReadAll(c)
	line, _, _ := strings.Cut(string(text), "\r\n")
	return line
}

// rewind: the store comes back from a copy some seconds old, and the operator goes on.
func rewind(p *play) {
	p.startStore()
	routes := func(idle int) []map[string]any {
		list := []map[string]any{route("track", "safe", "desk", 2, 4000, nil)}
		for i := range idle {
			list = append(list, route(fmt.Sprintf("idle-%d", i), "safe", "desk", 2, 4000, nil))
		}
		return list
	}
	before := []tenant{{"ash", []string{"key-ash-1"}}, {"birch", []string{"key-birch-1", "key-dropped", "key-moved"}}}
	after := []tenant{{"ash", []string{"key-ash-1", "key-moved", "key-added"}}, {"birch", []string{"key-birch-1"}}}
	services := []map[string]any{plainService("desk")}
	p.store.write("op/config", configuration(7, routes(0), services, before))
	for i := range 2 {
		e := p.newEngine(fmt.Sprintf("i-desk-%d", i+1), "desk", "v1", false)
		e.publish(e.run())
	}
	p.startRouters(p.store.address, p.store.address, p.store.address)
	p.askKeys("before", nil)
	copied := p.store.copy()
	short := p.newEngine("i-desk-3", "desk", "v1", false) // it joins, drains and leaves while the operator adds routes
	born := short.run()
	for i := range 6 {
		p.store.write("op/config", configuration(10+i, routes(i+1), services, before))
		switch i {
		case 0:
			short.publish(born)
		case 1:
			short.drain(born)
		}
		time.Sleep(400 * time.Millisecond)
	}
	time.Sleep(400 * time.Millisecond) // DrainMs after it has reported that it drains
	p.store.write("servers/"+short.id, nil)
	short.kill()
	time.Sleep(200 * time.Millisecond)
	if p.trouble {
		p.store.leave()
		time.Sleep(time.Second)
		p.store.comeBack(copied)
		for i := range 6 { // the operator writes all of that again; the engines that live have written nothing since the copy
			p.store.write("op/config", configuration(10+i, routes(i+1), services, before))
		}
	}
	time.Sleep(contact + 3*time.Second)
	p.store.write("op/config", configuration(20, routes(6), services, after))
	acknowledged := time.Now()
	time.Sleep(configApply + outer + 500*time.Millisecond)
	for range 5 {
		p.askKeys(fmt.Sprintf("%.1f s after the acknowledgement of version 20", time.Since(acknowledged).Seconds()), func(r *router, key string, g got) {
			wrong := ""
			switch {
			case key == "key-dropped" && g.status == http.StatusOK:
				wrong = "CONFIG: run with a dropped key"
			case key == "key-added" && g.status == http.StatusUnauthorized:
				wrong = "CONFIG: refused with 401 though the key is there"
			case key == "key-moved" && g.status == http.StatusOK && p.tenantOf(g.id) != "ash":
				wrong = "UNASKED: run for tenant " + p.tenantOf(g.id) + ", though ash holds the key"
			}
			if wrong != "" {
				p.note("BROKEN: %s: request %s at %s", wrong, g.id, r.name)
				p.broken = true
			}
		})
		time.Sleep(time.Second)
	}
	for _, e := range p.engines {
		for _, line := range e.runs() {
			p.note("engine %s: %s", e.id, line)
		}
	}
}

// askKeys sends a request with each key to each router.
func (p *play) askKeys(when string, judge func(*router, string, got)) {
	for _, r := range p.routers {
		for _, key := range []string{"key-ash-1", "key-birch-1", "key-dropped", "key-added", "key-moved"} {
			g := p.ask(r, http.MethodGet, "/track/x?kind=whole&n=1", 4*time.Second, map[string]string{"Key": key})
			p.note("%s: %s at %s: request %s, status %d, error %v", when, key, r.name, g.id, g.status, g.err)
			if judge != nil {
				judge(r, key, g)
			}
		}
	}
}

// tenantOf returns the tenant with which an engine ran a request.
func (p *play) tenantOf(request string) string {
	for _, e := range p.engines {
		for _, line := range e.runs() {
			if strings.Contains(line, " request="+request+" ") {
				_, rest, _ := strings.Cut(line, " tenant=")
				name, _, _ := strings.Cut(rest, " ")
				return name
			}
		}
	}
	return ""
}
