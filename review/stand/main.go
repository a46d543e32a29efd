// The program of the scripts of this review: small stand-ins of the platform's store, of engines and of clients, and one
// sequence of events for each case. Engines run as processes of their own (the verb "engine"); routers run as the deploy file
// starts them. Everything listens on loopback addresses.
package main

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

func main() {
	if len(os.Args) < 2 {
		fmt.Fprintln(os.Stderr, "usage: review-2 engine ID ADDRESS VERSION LOG COLD-MS | review-2 CASE RECORD")
		os.Exit(exitFailed)
	}
	if os.Args[1] == "engine" {
		runEngine(os.Args[2], os.Args[3], os.Args[4], os.Args[5], os.Args[6])
		return
	}
	cases := map[string]func(*world) bool{"hangup": hangup, "reborn-version": rebornVersion, "dark-before-release": darkBeforeRelease, "reborn-cold": rebornCold, "all-killed": allKilled}
	play := cases[os.Args[1]]
	if play == nil || len(os.Args) < 3 {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitFailed)
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	os.Exit(w.run(play))
}

// ---- engines

// order is what the body of a request asks of an engine.
type order struct {
	Pieces int // events of a stream, lines of another answer
	GapMs  int // pause between two pieces
	Stream bool
}

// engine is a sound engine: it checks Target-Instance, echoes Request-Id, signs its answers and goes on after Last-Event-Id.
type engine struct {
	id, version string
	born        int64
	runs        atomic.Int64
	log         *os.File

	coldUntil time.Time
	mutex     sync.Mutex     // guards the fields below
	arrivals  []time.Time    // of the last second while it is cold
	running   map[string]int // events made so far, by request
	listed    map[string]int // the same as the report tells it, with the runs that ended in the last reportAge
}

// coldCrash is how many requests in a second a cold engine doesn't bear: well above its 12, and above the rule's bound of 23.
const coldCrash = 30

const (
	slots     = 64                     // of an engine
	reportAge = 300 * time.Millisecond // the values of a report are some hundred ms old
)

// overrun ends a cold engine that gets requests at a rate well above what it tolerates.
func (e *engine) overrun() {
	now := time.Now()
	if now.After(e.coldUntil) {
		return
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.arrivals = slices.DeleteFunc(append(e.arrivals, now), func(at time.Time) bool { return now.Sub(at) >= time.Second })
	if len(e.arrivals) >= coldCrash {
		e.note("crashes: %d requests in a second while it is cold; %d requests run", len(e.arrivals), len(e.running))
		os.Exit(exitFailed)
	}
}

func runEngine(id, address, version, log, cold string) {
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
	e := &engine{id: id, version: version, born: time.Now().UnixMilli(), log: file, running: make(map[string]int), listed: make(map[string]int)}
	millis, _ := strconv.Atoi(cold) // 0 if it isn't cold
	e.coldUntil = time.Now().Add(time.Duration(millis) * time.Millisecond)
	server := &http.Server{Addr: address, Handler: e, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 30 * time.Second}
	fmt.Fprintln(os.Stderr, server.ListenAndServe())
	os.Exit(exitFailed)
}

func (e *engine) note(format string, values ...any) {
	line := fmt.Sprintf("%s engine %s born %d %s: %s\n", stamp(), e.id, e.born, e.version, fmt.Sprintf(format, values...))
	_, _ = io.WriteString(e.log, line)
}

// ServeHTTP answers health checks, reports and requests.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	request := r.Header.Get("Request-Id")
	if request != "" {
		h.Set("Request-Id", request)
	}
	e.mutex.Lock()
	running := len(e.running)
	e.mutex.Unlock()
	h.Set("Server-Load", fmt.Sprintf("%d,0,%d", running, slots))
	target := r.Header.Get("Target-Instance")
	switch {
	case target != "" && target != e.id:
		h.Set("Instance-Id", e.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		h.Set("Instance-Id", e.id)
		if left := time.Until(e.coldUntil); left > 0 {
			h.Set("Cold-Ms", strconv.FormatInt(left.Milliseconds(), 10))
		}
		e.note("health check")
	case r.Method == http.MethodGet && r.URL.Path == "/-/report":
		h.Set("Content-Type", "application/json")
		e.mutex.Lock()
		runs := [][]any{}
		for request, events := range e.listed {
			runs = append(runs, []any{request, 300 + 4*events, events, 1})
		}
		e.mutex.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{
			"born": e.born, "Stage": "both", "State": "ready", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
			"Busy": false, "Sequence": 1, "Waiting": 0, "Running": len(runs), "KvUsed": 0, "KvTotal": 264579, "Handles": 0, "Runs": runs,
		})
	case request == "":
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
	default:
		e.answer(w, r, request)
	}
}

func (e *engine) answer(w http.ResponseWriter, r *http.Request, request string) {
	body, err := io.ReadAll(r.Body)
	var o order
	if err != nil || json.Unmarshal(body, &o) != nil {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	run := fmt.Sprintf("%s.%d.%d", e.id, e.born, e.runs.Add(1))
	e.note("run %s begins: request %s after %d of %d", run, request, last, o.Pieces)
	e.overrun()
	progress := func(events int) {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		e.running[request], e.listed[request] = events, events
	}
	progress(0)
	defer func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.running, request)
		time.AfterFunc(reportAge, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			delete(e.listed, request)
		})
	}()
	h := w.Header()
	h.Set("Response-Signature", run)
	piece := func(i int) string { return fmt.Sprintf("line %d of %d by %s\n", i, o.Pieces, e.version) }
	h.Set("Content-Type", "text/plain")
	if o.Stream {
		h.Set("Content-Type", "text/event-stream")
		piece = func(i int) string { return fmt.Sprintf("id: %d\ndata: %d of %d by %s\n\n", i, i, o.Pieces, e.version) }
	}
	flush := http.NewResponseController(w).Flush
	for i := last + 1; i <= o.Pieces; i++ {
		if i > last+1 {
			time.Sleep(time.Duration(o.GapMs) * time.Millisecond)
		}
		if r.Context().Err() != nil {
			e.note("run %s: the router has left after %d", run, i-1)
			return
		}
		if _, err := io.WriteString(w, piece(i)); err != nil || flush() != nil {
			e.note("run %s: the router has left after %d", run, i-1)
			return
		}
		progress(i)
	}
	e.note("run %s ends", run)
}

// ---- the store

type item struct {
	Key      string
	Value    string `json:",omitempty"`
	Revision int64
	Created  int64
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

// store is the platform's store: reads are linearizable, watches return what is new, and nothing is lost.
type store struct {
	mutex   sync.Mutex
	items   map[string]item
	history []item
	changed chan struct{}
}

func (s *store) set(key string, value any) {
	text, _ := json.Marshal(value)
	s.change(item{Key: key, Value: base64.StdEncoding.EncodeToString(text)})
}

func (s *store) remove(key string) { s.change(item{Key: key, Deleted: true}) }

func (s *store) revision() int64 { return int64(len(s.history)) + 1 }

func (s *store) change(i item) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	old, known := s.items[i.Key]
	if i.Deleted && !known {
		return
	}
	i.Revision = s.revision() + 1
	i.Created = i.Revision
	if known {
		i.Created = old.Created
	}
	if s.items[i.Key] = i; i.Deleted {
		delete(s.items, i.Key)
	}
	s.history = append(s.history, i)
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// ServeHTTP answers ranges and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	w.Header().Set("Store-Era", "1")
	w.Header().Set("Content-Type", "application/json")
	switch r.URL.Path {
	case "/-/kv-range":
		s.mutex.Lock()
		list := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("PathPrefix")) && key > q.Get("After") {
				list = append(list, i)
			}
		}
		at := s.revision()
		s.mutex.Unlock()
		sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
		_ = json.NewEncoder(w).Encode(map[string]any{"Items": list, "HasMore": false, "StoreRevision": at})
	case "/-/kv-watch":
		after, _ := strconv.ParseInt(q.Get("After"), 10, 64)
		wait, _ := strconv.Atoi(q.Get("WaitMs"))
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		for waits := true; ; {
			s.mutex.Lock()
			var events []item
			for _, i := range s.history {
				if i.Revision > after && strings.HasPrefix(i.Key, q.Get("PathPrefix")) {
					events = append(events, i)
				}
			}
			at := s.revision()
			if s.changed == nil {
				s.changed = make(chan struct{})
			}
			changed := s.changed
			s.mutex.Unlock()
			if len(events) > 0 || !waits {
				_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "StoreRevision": at})
				return
			}
			select {
			case <-changed:
			case <-timer.C:
				waits = false
			case <-r.Context().Done():
				return
			}
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// ---- the world of a case

type world struct {
	trouble bool
	dir     string
	record  *os.File
	mutex   sync.Mutex
	net     string // the addresses are NET.x
	store   store
	routers []*router
	engines []*engineProcess
	lock    net.Listener
	began   time.Time
	failed  error // why the case could not run

	coldStartS, coldPerS float64 // of the model service
}

type router struct {
	name, ip, file string
	command        *exec.Cmd
	ended          chan struct{}
}

type engineProcess struct {
	id, ip, address, service, zone, version string
	listen                                  string // differs from address behind a link
	command                                 *exec.Cmd
	ended                                   chan struct{}
	sequence                                int
	coldMs                                  int // how much longer it is cold, as it says when it starts
}

func stamp() string { return time.Now().UTC().Format("15:04:05.000") }

func (w *world) say(format string, values ...any) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	fmt.Fprintf(w.record, "%s %s\n", stamp(), fmt.Sprintf(format, values...))
}

func newWorld(record string) (*world, error) {
	w := &world{trouble: os.Getenv("TROUBLE") != "0", began: time.Now()}
	w.store.items = make(map[string]item)
	var err error
	if w.record, err = os.Create(record); err != nil {
		return nil, err
	}
	if w.dir, err = os.MkdirTemp("", "review-2-"); err != nil {
		return nil, err
	}
	for n := range 200 { // one run at a time on each network
		w.net = fmt.Sprintf("127.%d.77", 20+(os.Getpid()+n)%200)
		if w.lock, err = net.Listen("tcp", w.net+".1:8799"); err == nil {
			return w, nil
		}
	}
	return nil, errors.New("no free loopback network")
}

// run plays a case and returns the exit code.
func (w *world) run(play func(*world) bool) (code int) {
	defer func() {
		for _, r := range w.routers {
			end(r.command, r.ended)
		}
		for _, e := range w.engines {
			end(e.command, e.ended)
		}
		w.appendRuns()
		_ = w.record.Close()
		_ = os.RemoveAll(w.dir)
	}()
	timer := time.AfterFunc(110*time.Second, func() {
		fmt.Fprintln(os.Stderr, "the case took too long")
		for _, r := range w.routers {
			_ = r.command.Process.Kill()
		}
		for _, e := range w.engines {
			_ = e.command.Process.Kill()
		}
		_ = os.RemoveAll(w.dir)
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	broken := play(w)
	switch {
	case w.failed != nil:
		w.say("RESULT: the case could not run: %v", w.failed)
		fmt.Println("the case could not run:", w.failed)
		return exitFailed
	case broken:
		w.say("RESULT: the rule was broken (trouble %v)", w.trouble)
		fmt.Println("the rule was broken")
		return exitBroken
	}
	w.say("RESULT: the rule held (trouble %v)", w.trouble)
	fmt.Println("the rule held")
	return exitHeld
}

func end(c *exec.Cmd, ended chan struct{}) {
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGCONT)
	_ = c.Process.Kill()
	<-ended
}

// appendRuns adds what the engines ran, and what the routers logged of failures, to the record.
func (w *world) appendRuns() {
	fmt.Fprintln(w.record, "\n-- what the engines ran")
	text, _ := os.ReadFile(filepath.Join(w.dir, "engines.log"))
	_, _ = w.record.Write(text)
	fmt.Fprintln(w.record, "\n-- lines of the routers' logs on starts, stops, servers, refusals and failures")
	for _, r := range w.routers {
		log, _ := os.ReadFile(filepath.Join(w.dir, r.name+".log"))
		for _, line := range strings.Split(string(log), "\n") {
			for _, word := range []string{"msg=starting", "msg=stopping", "msg=stopped", "settings taken up", "msg=server", "msg=refused", "msg=failed", "platform lost", "platform back", "panic", "fatal"} {
				if strings.Contains(line, word) {
					fmt.Fprintln(w.record, line)
					break
				}
			}
		}
	}
}

func (w *world) fail(err error) bool {
	if err != nil && w.failed == nil {
		w.failed = err
	}
	return w.failed != nil
}

var zones = []string{"faisalabad", "lahore", "multan"}

// route returns a route of the configuration.
func route(name, kind, service string, resumable bool, attempts int) map[string]any {
	return map[string]any{
		"Name": "r-" + name, "Host": "review.example", "PathPrefix": "/" + name + "/", "Kind": kind, "TimeoutMs": 15000, "LatencyTargetMs": 1500, "Priority": 1,
		"Service": service, "Attempts": attempts, "Public": true, "StickySessions": false, "Resumable": resumable, "GapTargetMs": 500,
	}
}

// configure writes the first configuration: a model service and a plain one.
func (w *world) configure() {
	w.store.set("op/config", map[string]any{
		"Version": 3,
		"Routes": []any{
			route("once", "streaming", "model", false, 1), route("again", "streaming", "model", true, 2), route("one", "streaming", "model", true, 1),
			route("write", "unsafe", "plain", false, 1), route("read", "safe", "plain", false, 2),
		},
		"Services": []any{
			map[string]any{
				"Name": "model", "HealthPath": "/health", "ConnectionLimit": 370, "Protocol": "h1", "ColdStartS": w.coldStartS, "ColdPerS": w.coldPerS,
				"Engine": map[string]any{"Slots": slots, "KvCacheTokens": 264579, "Models": []any{map[string]any{"Name": "m"}}},
			},
			map[string]any{"Name": "plain", "HealthPath": "/health", "ConnectionLimit": 110, "Protocol": "h1", "ColdStartS": 0.0, "ColdPerS": 0.0},
		},
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000, "TokensPerS": 230000},
		"Tenants": []any{},
	})
}

// start starts a fleet of three routers before some engines.
func (w *world) start(engines ...*engineProcess) bool {
	w.configure()
	listener, err := net.Listen("tcp", w.net+".2:8781")
	if w.fail(err) {
		return false
	}
	go func() { _ = (&http.Server{Handler: &w.store, ReadHeaderTimeout: 10 * time.Second}).Serve(listener) }()
	for i, e := range engines {
		e.ip = fmt.Sprintf("%s.%d", w.net, 100+i)
		e.address, e.zone = e.ip+":8443", zones[i%3]
		if e.listen == "behind" {
			e.listen = fmt.Sprintf("%s.%d:8443", w.net, 200+i)
		} else {
			e.listen = e.address
		}
		if w.fail(w.startEngine(e)) {
			return false
		}
		w.engines = append(w.engines, e)
	}
	for i := range 3 {
		r := &router{name: fmt.Sprintf("front-%s-1", zones[i]), ip: fmt.Sprintf("%s.%d", w.net, 10+i)}
		r.file = filepath.Join(w.dir, r.name+".toml")
		if w.fail(os.WriteFile(r.file, []byte(w.settings(i, "")), 0o600)) || w.fail(w.startRouter(r)) {
			return false
		}
		w.routers = append(w.routers, r)
	}
	for _, e := range engines {
		w.publish(e)
	}
	for _, r := range w.routers {
		if w.fail(until(20*time.Second, func() bool { return get("http://"+r.ip+":8780/-/readiness") == 200 })) {
			return false
		}
	}
	time.Sleep(1500 * time.Millisecond) // the routers find each other
	w.say("three routers are ready before %d engines", len(engines))
	return true
}

func get(url string) int {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func until(limit time.Duration, holds func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return nil
		}
	}
	return errors.New("the fleet did not start in time")
}

// settings returns a router's settings file, by the example of the pages.
func (w *world) settings(i int, more string) string {
	ip := fmt.Sprintf("%s.%d", w.net, 10+i)
	return fmt.Sprintf(`NodeName = "front-%s-1"
Role = "router"
MachineClass = "front"
Serves = ["front","control"]
Ip = %q
Zone = %q
Region = "punjab"
InnerPorts = [7400,7415]
Seeds = ["%s.10:8785","%s.11:8785","%s.12:8785"]
Bootstrap = true
HeartbeatMs = 1200
%s
[Listen]
Front = "%s:8783"
ReadinessAddress = "%s:8780"
Control = "%s:8785"
[Limits]
CpuShare = 0.4
Cores = 1
MemoryMb = 134
FileDescriptors = 4100
LinkMbps = 1000.0
DiskMb = 0
[Bounds]
ReuseAfterS = 2
ContactMs = 3000
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
RetryBudgetRatio = 0.2
RetryBudgetSlack = 58
[Platform]
Address = "%s.2:8781"
form = "read"
ReadsPerS = 2000
HistoryS = 20
`, zones[i], ip, zones[i], w.net, w.net, w.net, more, ip, ip, ip, w.net)
}

func (w *world) spawn(log string, env []string, words ...string) (*exec.Cmd, chan struct{}, error) {
	file, err := os.OpenFile(filepath.Join(w.dir, log), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer file.Close()
	c := exec.Command(words[0], words[1:]...)
	c.Stdout, c.Stderr = file, file
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}, env...)
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, nil, err
	}
	ended := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return c, ended, nil
}

// startRouter starts the users' program with the command of the deploy file.
func (w *world) startRouter(r *router) (err error) {
	r.command, r.ended, err = w.spawn(r.name+".log", []string{"MANGOLUG_NODE_FILE=" + r.file}, "target/platform")
	return err
}

func (w *world) startEngine(e *engineProcess) (err error) {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	e.command, e.ended, err = w.spawn("engines.err", nil, program, "engine", e.id, e.listen, e.version, filepath.Join(w.dir, "engines.log"), strconv.Itoa(e.coldMs))
	if err != nil {
		return err
	}
	return until(10*time.Second, func() bool { return get("http://"+e.listen+"/-/report") == 200 })
}

// publish writes an engine's entry as the engine does that reaches the store.
func (w *world) publish(e *engineProcess) {
	var report struct {
		Born int64 `json:"born"`
	}
	response, err := http.Get("http://" + e.listen + "/-/report")
	if w.fail(err) {
		return
	}
	defer response.Body.Close()
	if w.fail(json.NewDecoder(response.Body).Decode(&report)) {
		return
	}
	e.sequence++
	w.store.set("servers/"+e.id, map[string]any{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": slots, "State": "ready", "ColdRemainingMs": e.coldMs, "Sequence": e.sequence, "born": report.Born,
	})
	w.say("the entry of engine %s is written: version %s, born %d", e.id, e.version, report.Born)
}

func (w *world) kill(e *engineProcess) {
	_ = e.command.Process.Kill()
	<-e.ended
	w.say("engine %s (%s) has crashed", e.id, e.version)
}

// ---- clients

// attempt is what a client sent and got for one attempt.
type attempt struct {
	id, path string
	router   int
	order    order
	status   int
	whole    bool // the answer ends as complete
	err      error
	body     string
	events   []event
	took     time.Duration
	headerAt time.Duration
}

type event struct {
	id      int
	version string
}

// send makes one attempt on a new connection.
func (w *world) send(router int, path, id string, o order, last int, resumes string) *attempt {
	return w.sendTo(w.routers[router].ip+":8783", router, path, id, o, last, resumes, 15*time.Second)
}

// sendTo makes one attempt at an address by which a router is reached; the client gives up after a gap.
func (w *world) sendTo(address string, router int, path, id string, o order, last int, resumes string, gap time.Duration) *attempt {
	a := &attempt{id: id, path: path, router: router, order: o}
	began := time.Now()
	defer func() { a.took = time.Since(began) }()
	body, _ := json.Marshal(o)
	raw, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer raw.Close()
	c := &patient{Conn: raw, until: began.Add(15 * time.Second), gap: gap}
	var head strings.Builder
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: review.example\r\nRequest-Id: %s\r\nDeadline-Ms: 15000\r\n", path, id)
	if o.Stream {
		head.WriteString("Model: m\r\nToken-Counts: 300,100\r\nPrompt-Prefix: 5c1e07a2:172," + hexOf(id) + ":128\r\n")
	}
	if last > 0 {
		fmt.Fprintf(&head, "Last-Event-Id: %d\r\nResumes: %s\r\n", last, resumes)
	}
	fmt.Fprintf(&head, "Content-Length: %d\r\n\r\n%s", len(body), body)
	if _, a.err = io.WriteString(c, head.String()); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err = err
		return a
	}
	a.headerAt = time.Since(began)
	defer response.Body.Close()
	a.status = response.StatusCode
	text, err := io.ReadAll(response.Body)
	a.body, a.err, a.whole = string(text), err, err == nil
	if o.Stream && a.status == 200 {
		a.readEvents()
	}
	return a
}

// patient is a connection whose reader gives up after a gap, and at the client's deadline.
type patient struct {
	net.Conn
	until time.Time
	gap   time.Duration
}

func (p *patient) Read(b []byte) (int, error) {
	until := time.Now().Add(p.gap)
	if p.until.Before(until) {
		until = p.until
	}
	_ = p.SetReadDeadline(until)
	return p.Conn.Read(b)
}

func hexOf(id string) string {
	var n uint64 = 1469598103934665603
	for _, b := range []byte(id) {
		n = (n ^ uint64(b)) * 1099511628211
	}
	return strconv.FormatUint(n&0xffffffff, 16)
}

func (a *attempt) readEvents() {
	for _, text := range strings.SplitAfter(a.body, "\n\n") {
		var e event
		var data, of int
		if n, _ := fmt.Sscanf(text, "id: %d\ndata: %d of %d by %s\n\n", &e.id, &data, &of, &e.version); n == 4 && strings.HasSuffix(text, "\n\n") {
			a.events = append(a.events, e)
		}
	}
}

func (a *attempt) String() string {
	text := fmt.Sprintf("request %s %s by router %d: status %d, complete %v, error %v, after %d ms", a.id, a.path, a.router+1, a.status, a.whole, a.err, a.took.Milliseconds())
	if a.order.Stream {
		return fmt.Sprintf("%s, %d events by %v", text, len(a.events), a.versions())
	}
	return fmt.Sprintf("%s, %d bytes", text, len(a.body))
}

func (a *attempt) versions() []string {
	var list []string
	for _, e := range a.events {
		if !slices.Contains(list, e.version) {
			list = append(list, e.version)
		}
	}
	return list
}

// ---- a link between routers and an engine

// link forwards connections; while it is cut it holds all bytes and ends of both directions, and takes no new connections further.
type link struct {
	mutex  sync.Mutex
	opened *sync.Cond
	cut    bool
}

func newLink(listen, target string) (*link, error) {
	l := &link{}
	l.opened = sync.NewCond(&l.mutex)
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(c.(*net.TCPConn), target)
		}
	}()
	return l, nil
}

func (l *link) set(cut bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.cut = cut
	l.opened.Broadcast()
}

func (l *link) pass() {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for l.cut {
		l.opened.Wait()
	}
}

func (l *link) forward(c *net.TCPConn, target string) {
	l.pass()
	d, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.SetLinger(0) // as a port with no listener
		_ = c.Close()
		return
	}
	go l.pump(d.(*net.TCPConn), c)
	l.pump(c, d.(*net.TCPConn))
}

func (l *link) pump(from, to *net.TCPConn) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		l.pass()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				_ = from.Close()
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.CloseWrite()
			return
		}
		if err != nil {
			_ = to.SetLinger(0)
			_ = to.Close()
			return
		}
	}
}

// ---- the cases

// hangup: SIGTERM of a router while requests run, and in its grace period SIGHUP, as its settings file changes.
func hangup(w *world) bool {
	engines := []*engineProcess{}
	for i := range 6 {
		service := []string{"model", "plain"}[i%2]
		engines = append(engines, &engineProcess{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: service, version: "v1"})
	}
	if !w.start(engines...) {
		return false
	}
	var wait sync.WaitGroup
	answers := make([]*attempt, 40)
	for i := range answers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			if i%2 == 0 {
				answers[i] = w.send(0, "/once/1", fmt.Sprintf("a%015x", i), order{Pieces: 40, GapMs: 100, Stream: true}, 0, "")
			} else {
				answers[i] = w.send(0, "/write/1", fmt.Sprintf("a%015x", i), order{Pieces: 4, GapMs: 1000}, 0, "")
			}
		}()
	}
	time.Sleep(700 * time.Millisecond)
	r := w.routers[0]
	w.say("SIGTERM to router 1, which serves %d requests", len(answers))
	_ = r.command.Process.Signal(syscall.SIGTERM)
	time.Sleep(time.Second)
	if w.trouble {
		_ = os.WriteFile(r.file, []byte(w.settings(0, "# changed")), 0o600)
		w.say("the settings file of router 1 changes, SIGHUP to it")
		_ = r.command.Process.Signal(syscall.SIGHUP)
	}
	wait.Wait()
	lost := 0
	for _, a := range answers {
		w.say("%v", a)
		if a.status != 200 || !a.whole {
			lost++
		}
	}
	w.say("%d of %d requests that router 1 had read and passed on ended without a complete answer", lost, len(answers))
	return lost > 0
}

// rebornVersion: an engine is cut off from the store, crashes behind the cut and starts again under its id with the next software
// version, while the clients whose streams broke take them up at another router.
func rebornVersion(w *world) bool {
	one := &engineProcess{id: "i-7f3a91c1", service: "model", version: "v1"}
	two := &engineProcess{id: "i-7f3a91c2", service: "model", version: "v1"}
	three := &engineProcess{id: "i-7f3a91c3", service: "model", version: "v2"}
	four := &engineProcess{id: "i-7f3a91c4", service: "model", version: "v2"}
	five := &engineProcess{id: "i-7f3a91c5", service: "model", version: "v2"}
	if !w.start(one, two, three, four, five) {
		return false
	}
	type stream struct{ attempts []*attempt }
	streams := make([]stream, 80)
	var wait sync.WaitGroup
	crash := make(chan struct{})
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			o := order{Pieces: 60, GapMs: 100, Stream: true}
			id := fmt.Sprintf("b%014x0", i)
			a := w.send(0, "/one/1", id, o, 0, "")
			streams[i].attempts = append(streams[i].attempts, a)
			if a.whole || len(a.events) == 0 {
				return
			}
			<-crash                             // the time of the crash
			time.Sleep(1200 * time.Millisecond) // the client's pause before it tries again
			b := w.send(1+i%2, "/one/1", fmt.Sprintf("b%014x1", i), o, a.events[len(a.events)-1].id, id)
			streams[i].attempts = append(streams[i].attempts, b)
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		w.say("engine %s is cut off from the store: its entry stays as it is for now", one.id)
	}
	w.kill(one)
	close(crash)
	time.Sleep(300 * time.Millisecond)
	one.version = "v2"
	if w.fail(w.startEngine(one)) {
		return false
	}
	w.say("engine %s has started again, with software version v2", one.id)
	if !w.trouble {
		w.publish(one)
	} else {
		time.Sleep(2200 * time.Millisecond)
		w.say("the cut has healed, 2.5 s after the crash")
		w.publish(one)
	}
	wait.Wait()
	mixed := 0
	for i, s := range streams {
		var versions []string
		for _, a := range s.attempts {
			w.say("%v", a)
			for _, v := range a.versions() {
				if !slices.Contains(versions, v) {
					versions = append(versions, v)
				}
			}
		}
		if len(versions) > 1 {
			mixed++
			w.say("stream %d holds events of %v", i, versions)
		}
	}
	w.say("%d streams hold events of two software versions; two are allowed", mixed)
	return mixed > 2
}

// darkBeforeRelease: a router loses power while it serves streams; half a second later a release brings the first engine of a new software
// version, and the clients notice the silence and take their streams up at the other routers.
func darkBeforeRelease(w *world) bool {
	engines := []*engineProcess{}
	for i := range 4 {
		engines = append(engines, &engineProcess{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "model", version: "v1"})
	}
	if !w.start(engines...) {
		return false
	}
	const settle = 34 * time.Second
	w.say("the fleet runs for %v before the streams begin", settle)
	time.Sleep(settle)
	l, err := newLink(w.net+".20:8783", w.routers[0].ip+":8783")
	if w.fail(err) {
		return false
	}
	// Clients give a stream up after the longest of two seconds, four times the objective (1,500 ms) and eight times the pause (500 ms).
	const gap = 6 * time.Second
	o := order{Pieces: 90, GapMs: 50, Stream: true}
	var wait sync.WaitGroup
	type stream struct {
		begun, resumed *attempt
		last           int
	}
	streams := make([]stream, 30)
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s := &streams[i]
			id := fmt.Sprintf("d%014x0", i)
			s.begun = w.sendTo(w.net+".20:8783", 0, "/again/1", id, o, 0, "", gap)
			if s.begun.whole || len(s.begun.events) == 0 {
				return
			}
			s.last = s.begun.events[len(s.begun.events)-1].id
			s.resumed = w.sendTo(w.routers[1+i%2].ip+":8783", 1+i%2, "/again/1", fmt.Sprintf("d%014x1", i), o, s.last, id, gap)
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		l.set(true) // nothing comes from the machine any more, not even the end of its connections
		_ = w.routers[0].command.Process.Kill()
		<-w.routers[0].ended
		w.say("router 1 has lost power")
	}
	time.Sleep(500 * time.Millisecond)
	next := &engineProcess{id: "i-7f3a91cf", service: "model", version: "v2", zone: zones[0], ip: w.net + ".120"}
	next.address, next.listen = next.ip+":8443", next.ip+":8443"
	if w.fail(w.startEngine(next)) {
		return false
	}
	w.engines = append(w.engines, next)
	w.publish(next)
	w.say("the release has started its first engine, with software version v2; all engines of v1 serve on")
	if w.trouble {
		time.Sleep(3 * time.Second)
		if w.fail(w.startRouter(w.routers[0])) {
			return false
		}
		w.say("router 1 has power again")
	}
	fresh := make([]*attempt, 30) // new streams, while the others are taken up
	time.Sleep(2500 * time.Millisecond)
	for i := range fresh {
		wait.Add(1)
		go func() {
			defer wait.Done()
			fresh[i] = w.sendTo(w.routers[1+i%2].ip+":8783", 1+i%2, "/again/1", fmt.Sprintf("e%014x0", i), order{Pieces: 20, GapMs: 50, Stream: true}, 0, "", gap)
		}()
	}
	wait.Wait()
	taken, on, begun := 0, 0, 0
	for _, s := range streams {
		w.say("%v", s.begun)
		if s.resumed == nil {
			continue
		}
		w.say("  taken up after event %d: %v %q", s.last, s.resumed, strings.TrimSpace(s.resumed.refusal()))
		taken++
		if len(s.resumed.events) > 0 {
			on++
		}
	}
	for _, a := range fresh {
		w.say("new: %v", a)
		if len(a.events) > 0 {
			begun++
		}
	}
	w.say("%d streams were taken up, %d of them went on; %d of %d new streams began", taken, on, begun, len(fresh))
	return taken >= 12 && 2*on*len(fresh) < begun*taken
}

// refusal returns the text of an answer that is no success.
func (a *attempt) refusal() string {
	if a.status == 200 {
		return ""
	}
	return a.body
}

// rebornCold: an engine is cut off from the store, crashes behind the cut and starts again under its id, cold, while the usual traffic goes on.
func rebornCold(w *world) bool {
	const (
		perSecond = 180 // requests of all clients, 36 for each engine
		seconds   = 9
		bound     = 12*1.5 + 5 // ColdPerS x ColdOverrun + ColdSlack
	)
	w.coldStartS, w.coldPerS = 3, 12
	engines := []*engineProcess{}
	for i := range 5 {
		engines = append(engines, &engineProcess{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "model", version: "v1"})
	}
	if !w.start(engines...) {
		return false
	}
	one := engines[0]
	var wait sync.WaitGroup
	answers := make([]*attempt, perSecond*seconds)
	wait.Add(1)
	go func() {
		defer wait.Done()
		ticker := time.NewTicker(time.Second / perSecond)
		defer ticker.Stop()
		for i := range answers {
			<-ticker.C
			wait.Add(1)
			go func() {
				defer wait.Done()
				answers[i] = w.send(i%3, "/once/1", fmt.Sprintf("f%015x", i), order{Pieces: 6, GapMs: 60, Stream: true}, 0, "")
			}()
		}
	}()
	time.Sleep(3 * time.Second)
	if w.trouble {
		w.say("engine %s is cut off from the store: its entry stays as it is for now", one.id)
	}
	w.kill(one)
	time.Sleep(500 * time.Millisecond)
	one.coldMs = 3000
	if w.fail(w.startEngine(one)) {
		return false
	}
	again := time.Now()
	w.say("engine %s has started again under its id, and is cold for 3 s", one.id)
	if w.trouble {
		time.Sleep(2 * time.Second)
		w.say("the cut has healed")
		one.coldMs = 1000
		select {
		case <-one.ended:
			w.say("engine %s has crashed once more", one.id)
		default:
			w.publish(one)
		}
	} else {
		w.publish(one)
	}
	wait.Wait()
	lost, refused := 0, 0
	for _, a := range answers {
		if a.status == http.StatusServiceUnavailable {
			refused++
		} else if !a.whole || a.status != 200 {
			lost++
			w.say("%v", a)
		}
	}
	w.say("of %d requests %d were refused and %d were accepted and lost, those of the first crash included", len(answers), refused, lost)
	most := w.mostInASecond(one.id, again, again.Add(3*time.Second))
	w.say("while it was cold, engine %s got %d requests in some second; the bound is %v", one.id, most, bound)
	return float64(most) > bound
}

// mostInASecond returns the most requests that an engine got in any second of a span, by its own log.
func (w *world) mostInASecond(id string, from, to time.Time) int {
	text, _ := os.ReadFile(filepath.Join(w.dir, "engines.log"))
	var at []time.Duration
	for _, line := range strings.Split(string(text), "\n") {
		if !strings.Contains(line, "engine "+id+" ") || !strings.Contains(line, " begins: ") {
			continue
		}
		clock, err := time.Parse("15:04:05.000", line[:12])
		if err != nil {
			continue
		}
		day := time.Duration(clock.Hour())*time.Hour + time.Duration(clock.Minute())*time.Minute + time.Duration(clock.Second())*time.Second + time.Duration(clock.Nanosecond())
		since := func(t time.Time) time.Duration { return t.UTC().Sub(t.UTC().Truncate(24 * time.Hour)) }
		if day >= since(from)-100*time.Millisecond && day <= since(to) {
			at = append(at, day)
		}
	}
	most := 0
	for i := range at {
		n := 0
		for _, o := range at[i:] {
			if o-at[i] < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// allKilled: all routers are killed while they serve streams, and are back after half a second; their clients take the streams up when the routers
// are in touch again.
func allKilled(w *world) bool {
	engines := []*engineProcess{}
	for i := range 4 {
		engines = append(engines, &engineProcess{id: fmt.Sprintf("i-%08x", 0x7f3a91c0+i), service: "model", version: "v1"})
	}
	if !w.start(engines...) {
		return false
	}
	o := order{Pieces: 90, GapMs: 50, Stream: true}
	var wait sync.WaitGroup
	type stream struct {
		begun, resumed *attempt
		last           int
	}
	streams := make([]stream, 30)
	for i := range streams {
		wait.Add(1)
		go func() {
			defer wait.Done()
			s := &streams[i]
			id := fmt.Sprintf("d%014x0", i)
			s.begun = w.send(i%3, "/again/1", id, o, 0, "")
			if s.begun.whole || len(s.begun.events) == 0 {
				return
			}
			time.Sleep(5 * time.Second) // then the routers have been in touch for more than a second
			s.last = s.begun.events[len(s.begun.events)-1].id
			s.resumed = w.send((i+1)%3, "/again/1", fmt.Sprintf("d%014x1", i), o, s.last, id)
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	if w.trouble {
		for _, r := range w.routers {
			_ = r.command.Process.Kill()
		}
		for _, r := range w.routers {
			<-r.ended
		}
		w.say("all routers are killed")
		time.Sleep(500 * time.Millisecond)
		for _, r := range w.routers {
			if w.fail(w.startRouter(r)) {
				return false
			}
		}
		w.say("all routers are started again")
	}
	fresh := make([]*attempt, 30) // new streams, while the others are taken up
	time.Sleep(4500 * time.Millisecond)
	for i := range fresh {
		wait.Add(1)
		go func() {
			defer wait.Done()
			fresh[i] = w.send(i%3, "/again/1", fmt.Sprintf("e%014x0", i), order{Pieces: 20, GapMs: 50, Stream: true}, 0, "")
		}()
	}
	wait.Wait()
	taken, on, begun := 0, 0, 0
	for _, s := range streams {
		w.say("%v", s.begun)
		if s.resumed == nil {
			continue
		}
		w.say("  taken up after event %d: %v %q", s.last, s.resumed, strings.TrimSpace(s.resumed.refusal()))
		taken++
		if len(s.resumed.events) > 0 {
			on++
		}
	}
	for _, a := range fresh {
		w.say("new: %v", a)
		if len(a.events) > 0 {
			begun++
		}
	}
	w.say("%d streams were taken up, %d of them went on; %d of %d new streams began", taken, on, begun, len(fresh))
	return taken >= 12 && 2*on*len(fresh) < begun*taken
}
