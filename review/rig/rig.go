package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	heartbeat  = 1200 * time.Millisecond
	readyLimit = 20 * time.Second
	// entryLife is how long the entry of a silent engine stays: three heartbeats.
	entryLife = 3 * heartbeat
)

var zones = []string{"faisalabad", "lahore", "multan"}

// rig is a small deployment: routers, engines, and the store.
type rig struct {
	trouble bool
	began   time.Time
	dir     string
	network string // "127.a.b." for all addresses
	store   *store
	routers []*router
	engines []*engineProcess

	mutex  sync.Mutex
	record *bufio.Writer
	file   *os.File
	runs   []map[string]string // "run" lines of the engines
}

type router struct {
	front, readiness, control string
	settings                  string
	command                   *exec.Cmd
	ended                     chan struct{}
}

type engineProcess struct {
	id, address, service, zone, version, limit string
	model                                      bool
	slots                                      int
	byHand                                     bool
	extra                                      float64 // share of its answers after which a second one comes
	extraStatus                                int

	mutex   sync.Mutex
	command *exec.Cmd
	up      bool
	born    int64
	beats   int
	heard   time.Time // when the store last heard it
	entry   string    // as it was last written, without its Sequence
	ready   chan struct{}
}

func newRig(folder string, trouble bool) (*rig, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "mangolug-review-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, began: time.Now(), dir: dir, record: bufio.NewWriter(file), file: file}
	for range 50 {
		r.network = fmt.Sprintf("127.%d.%d.", 16+rand.IntN(230), rand.IntN(250))
		if r.store, err = newStore(r.network + "1:8781"); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	r.note("trouble: %v", trouble)
	go r.heartbeats()
	return r, nil
}

// note writes a line to the record, with the seconds since the begin.
func (r *rig) note(format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

func (r *rig) close() {
	for _, o := range r.routers {
		_ = o.command.Process.Signal(syscall.SIGCONT)
		_ = o.command.Process.Kill() // it may have ended
		<-o.ended
	}
	for _, e := range r.engines {
		r.kill(e)
	}
	_ = r.store.server.Close()
	_ = os.RemoveAll(r.dir)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_ = r.record.Flush()
	_ = r.file.Close()
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return text
}

// table is an object of the platform's messages.
type table map[string]any

// host is the host of all routes.
const host = "ficu95.example"

// configure writes a configuration with some routes and services.
func (r *rig) configure(routes []table, services []table, limits table) {
	for _, o := range routes {
		o["Host"] = host
	}
	r.store.set("op/config", encode(table{"Version": 1, "Routes": routes, "Services": services, "Limits": limits}))
}

var defaultLimits = table{"HeaderBytes": 16384, "BodyBytes": 1 << 20, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 60000}

// addEngine starts an engine and publishes it.
func (r *rig) addEngine(service string, model bool, version, limit string) (*engineProcess, error) {
	e := r.newEngine(service, model, version, limit)
	return e, r.startEngine(e)
}

// newEngine returns an engine that is not started.
func (r *rig) newEngine(service string, model bool, version, limit string) *engineProcess {
	n := len(r.engines)
	e := &engineProcess{
		id: fmt.Sprintf("i-%d%04x", n+1, rand.IntN(1<<16)), address: fmt.Sprintf("%s%d:8790", r.network, 100+n), service: service, zone: zones[n%len(zones)],
		version: version, limit: limit, model: model, slots: 64,
	}
	if !model {
		e.slots = 16
	}
	r.mutex.Lock()
	r.engines = append(r.engines, e)
	r.mutex.Unlock()
	return e
}

// startEngine starts the process of an engine under its id and address, and publishes it.
func (r *rig) startEngine(e *engineProcess) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	args := []string{"engine", "-id", e.id, "-listen", e.address, "-version", e.version, "-limit", e.limit, "-slots", strconv.Itoa(e.slots)}
	if e.model {
		args = append(args, "-model")
	}
	if e.byHand {
		args = append(args, "-by-hand", "-extra", strconv.FormatFloat(e.extra, 'g', -1, 64), "-extra-status", strconv.Itoa(e.extraStatus))
	}
	command := exec.Command(program, args...)
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	out, err := command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := command.Start(); err != nil {
		return err
	}
	e.mutex.Lock()
	e.command, e.up, e.beats, e.ready = command, true, 0, make(chan struct{})
	ready := e.ready
	e.mutex.Unlock()
	go r.listen(e, out, ready)
	select {
	case <-ready:
	case <-time.After(readyLimit):
		return fmt.Errorf("engine %s did not start", e.id)
	}
	r.beat(e)
	return nil
}

// listen reads what an engine writes.
func (r *rig) listen(e *engineProcess, out io.Reader, ready chan struct{}) {
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		r.note("engine %s: %s", e.id, lines.Text())
		kind, rest, _ := strings.Cut(lines.Text(), " ")
		fields := map[string]string{"engine": e.id}
		for _, f := range strings.Fields(rest) {
			name, value, _ := strings.Cut(f, "=")
			fields[name] = value
		}
		switch kind {
		case "up":
			e.mutex.Lock()
			e.born, _ = strconv.ParseInt(fields["born"], 10, 64)
			e.mutex.Unlock()
			close(ready)
		case "run":
			r.mutex.Lock()
			r.runs = append(r.runs, fields)
			r.mutex.Unlock()
		}
	}
}

// beat tells the store that an engine lives, as it does itself at its start and each heartbeat. The entry changes when more than its Sequence does.
func (r *rig) beat(e *engineProcess) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.up {
		return
	}
	e.beats++
	entry := table{
		"Service": e.service, "Address": e.address, "Zone": e.zone, "Version": e.version, "Slots": e.slots, "State": "ready", "ColdRemainingMs": 0,
		"born": e.born,
	}
	key, content := "servers/"+e.id, string(encode(entry))
	entry["Sequence"] = e.beats
	if content == e.entry && r.store.has(key) {
		e.heard = time.Now()
	} else if r.store.set(key, encode(entry)) {
		e.entry, e.heard = content, time.Now()
	}
}

// heartbeats writes entries, and removes those of engines that are silent.
func (r *rig) heartbeats() {
	for range time.Tick(heartbeat) {
		r.mutex.Lock()
		engines := slices.Clone(r.engines)
		r.mutex.Unlock()
		for _, e := range engines {
			r.beat(e)
			e.mutex.Lock()
			lapsed := !e.up && time.Since(e.heard) > entryLife
			e.mutex.Unlock()
			if lapsed {
				r.store.set("servers/"+e.id, nil)
			}
		}
	}
}

// kill ends an engine with SIGKILL.
func (r *rig) kill(e *engineProcess) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.up {
		return
	}
	e.up = false
	r.note("engine %s is killed", e.id)
	_ = e.command.Process.Kill() // it may have ended
	_ = e.command.Wait()         // its status is that of the signal
}

// startRouters starts routers with the deploy file's command and waits until they are ready.
func (r *rig) startRouters(n int) error {
	var seeds []string
	for i := range min(n, 3) {
		seeds = append(seeds, strconv.Quote(fmt.Sprintf("%s%d:8785", r.network, 10+i)))
	}
	for i := range n {
		ip := fmt.Sprintf("%s%d", r.network, 10+i)
		o := &router{front: ip + ":8783", readiness: ip + ":8780", control: ip + ":8785"}
		settings := filepath.Join(r.dir, fmt.Sprintf("router-%d.toml", i+1))
		text := fmt.Sprintf(nodeText, fmt.Sprintf("front-%s-%d", zones[i%len(zones)], i+1), ip, zones[i%len(zones)], strings.Join(seeds, ","), o.front, o.readiness, o.control, r.network+"1:8781")
		if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
			return err
		}
		o.settings = settings
		if err := r.startRouter(o); err != nil {
			return err
		}
		r.routers = append(r.routers, o)
	}
	for _, o := range r.routers {
		if err := waitReady(o); err != nil {
			return err
		}
	}
	time.Sleep(3 * time.Second) // until they know each other and are in touch
	return nil
}

// startRouter starts the process of a router.
func (r *rig) startRouter(o *router) error {
	program, err := filepath.Abs("target/platform")
	if err != nil {
		return err
	}
	logs, err := os.OpenFile(strings.TrimSuffix(o.settings, ".toml")+".log", os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	command, ended := exec.Command(program), make(chan struct{})
	command.Env = append(os.Environ(), "MANGOLUG_NODE_FILE="+o.settings)
	command.Stdout, command.Stderr = logs, logs
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	_ = logs.Close() // the process has its own
	o.command, o.ended = command, ended
	go func() {
		err := command.Wait()
		r.note("router %s ended: %v", o.front, err)
		close(ended)
	}()
	return nil
}

// readiness returns the status of a router's readiness.
func readiness(o *router) (int, error) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + o.readiness + "/-/readiness")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

func waitReady(o *router) error {
	for until := time.Now().Add(readyLimit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if status, err := readiness(o); err == nil && status == http.StatusOK {
			return nil
		}
	}
	return errors.New("router " + o.front + " is not ready")
}

// keepLogs copies the routers' logs into a folder, for a look by hand.
func (r *rig) keepLogs() {
	to := os.Getenv("RIG_LOGS")
	if to == "" {
		return
	}
	_ = os.CopyFS(to, os.DirFS(r.dir))
}

// nodeText is the settings file of a machine, with the figures of a small deployment.
const nodeText = `NodeName = %q
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
Front = %q
ReadinessAddress = %q
Control = %q
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
Address = %q
form = "read"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
`

// answer is what a client got.
type answer struct {
	id, router  string
	status      int
	header      http.Header
	body        []byte
	whole       bool // its end shows that it is complete
	err         error
	began, took time.Duration
}

// ask sends a request on a new connection and reads the answer, to its end or until the client's deadline.
func (r *rig) ask(router, method, target, id, body string, deadline time.Duration, headers ...string) *answer {
	return r.askFor(router, method, target, id, body, deadline, deadline, headers...)
}

// askFor is ask for a client that names a deadline, and closes its connection after some time.
func (r *rig) askFor(router, method, target, id, body string, deadline, stay time.Duration, headers ...string) *answer {
	a := &answer{id: id, router: router, began: time.Since(r.began)}
	defer func() {
		a.took = time.Since(r.began) - a.began
		r.note("client %s: %s %s at %s: status %d, %d bytes, whole %v, signed %v, after %d ms, error %v", id, method, target, router, a.status, len(a.body), a.whole, a.header.Get("Response-Signature") != "", a.took.Milliseconds(), a.err)
	}()
	until := time.Now().Add(stay)
	c, err := net.DialTimeout("tcp", router, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer c.Close()
	_ = c.SetDeadline(until)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, host, id, deadline.Milliseconds())
	for _, h := range headers {
		head.WriteString(h + "\r\n")
	}
	if body != "" {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(body))
	}
	head.WriteString("\r\n" + body)
	if _, a.err = io.WriteString(c, head.String()); a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.header = response.StatusCode, response.Header
	a.body, a.err = io.ReadAll(response.Body)
	a.whole = a.err == nil
	return a
}
