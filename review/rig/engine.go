package main

import (
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine stands in for an engine of the platform, as PROTOCOL.md describes it. A request's body says how long its answer is.
type engine struct {
	id, version, limit string
	model              bool
	slots              int64
	born               int64

	running atomic.Int64
	runs    atomic.Int64
	mutex   sync.Mutex
	prefill sync.Mutex      // held while a prompt is read
	now     map[string]bool // ids of the requests that run
	reports [][]string      // of the ids, each reportPeriod, the newest last
}

const (
	// reportPeriod is the time between two reports, of which the oldest of reportsKept is told: reports are some hundred ms old.
	reportPeriod = 100 * time.Millisecond
	reportsKept  = 4
)

// prefillPerMs is how many tokens of a prompt's own part a model engine reads in a millisecond; the shared parts are kept.
const prefillPerMs = 49.6

func engineMain(args []string) int {
	e := &engine{born: time.Now().UnixMilli()}
	flags := flag.NewFlagSet("engine", flag.ExitOnError)
	listen := flags.String("listen", "", "ip:port")
	flags.StringVar(&e.id, "id", "", "instance id")
	flags.StringVar(&e.version, "version", "", "software version")
	flags.StringVar(&e.limit, "limit", "", "value of Server-Limit; empty for none")
	byHand := flags.Bool("by-hand", false, "a plain service that is served without net/http's server")
	extra := flags.Float64("extra", 0, "share of its answers after which a second answer comes late")
	status := flags.Int("extra-status", http.StatusBadRequest, "its status")
	flags.BoolVar(&e.model, "model", false, "it is a model engine")
	flags.Int64Var(&e.slots, "slots", 64, "concurrent requests")
	_ = flags.Parse(args) // exits on an error
	listener, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	e.now = make(map[string]bool)
	go e.report()
	e.say("up id=%s version=%s born=%d", e.id, e.version, e.born)
	if *byHand {
		e.serveWithExtras(listener, *extra, *status)
		return 1
	}
	server := &http.Server{Handler: e, IdleTimeout: 30 * time.Second, ReadHeaderTimeout: 10 * time.Second, DisableGeneralOptionsHandler: true}
	fmt.Fprintln(os.Stderr, server.Serve(listener))
	return 1
}

// say writes a line that the rig reads.
func (e *engine) say(format string, args ...any) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	fmt.Printf(format+"\n", args...)
}

// report notes from time to time what runs.
func (e *engine) report() {
	for range time.Tick(reportPeriod) {
		e.mutex.Lock()
		e.reports = append(e.reports, slices.Sorted(maps.Keys(e.now)))
		e.reports = e.reports[max(0, len(e.reports)-reportsKept):]
		e.mutex.Unlock()
	}
}

// reported returns the runs of the report, each as [id, tokens in memory, events made, priority].
func (e *engine) reported() string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	var runs []string
	if len(e.reports) > 0 {
		for _, id := range e.reports[0] {
			runs = append(runs, fmt.Sprintf("[%q,1,1,0]", id))
		}
	}
	return strings.Join(runs, ",")
}

// begins notes a request that runs, and returns the function for its end.
func (e *engine) begins(id string) func() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.now[id] = true
	return func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		delete(e.now, id)
	}
}

// order is what a request's body asks for.
type order struct {
	pieces   int
	gap      time.Duration
	unframed bool
}

func readOrder(text string) (o order) {
	for _, field := range strings.Fields(text) {
		name, value, _ := strings.Cut(field, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "pieces":
			o.pieces = n
		case "gap":
			o.gap = time.Duration(n) * time.Millisecond
		case "unframed":
			o.unframed = n > 0
		}
	}
	return o
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	running := e.running.Add(1)
	defer e.running.Add(-1)
	h := w.Header()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", min(running, e.slots), max(0, running-e.slots), e.slots))
	if e.limit != "" {
		h.Set("Server-Limit", e.limit)
	}
	id := r.Header.Get("Request-Id")
	if id != "" {
		h.Set("Request-Id", id)
	}
	target := r.Header.Get("Target-Instance")
	reject := func(status int) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(status)
	}
	switch {
	case target != "" && target != e.id:
		h.Set("Instance-Id", e.id)
		reject(http.StatusMisdirectedRequest)
	case r.Method == http.MethodGet && r.URL.Path == "/health":
		h.Set("Instance-Id", e.id)
	case e.model && r.Method == http.MethodGet && r.URL.Path == "/-/report":
		h.Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"Stage":"both","Models":[{"Name":"m","Version":1,"Adapters":[]}],"Busy":false,"Sequence":1,"Waiting":0,"Running":%d,"KvUsed":0,"KvTotal":300000,"Handles":0,"born":%d,"Runs":[%s]}`, running-1, e.born, e.reported())
	case id == "":
		reject(http.StatusBadRequest)
	case running > e.slots:
		reject(http.StatusServiceUnavailable)
	default:
		e.run(w, r, id)
	}
}

// run runs a request. Each piece of the answer names the run and the version.
func (e *engine) run(w http.ResponseWriter, r *http.Request, id string) {
	run := fmt.Sprintf("%s.%d.%d", e.id, e.born, e.runs.Add(1))
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	defer e.begins(id)()
	o := readOrder(string(body))
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.say("run id=%s run=%s version=%s method=%s target=%s path=%s host=%s after=%d", id, run, e.version, r.Method, r.RequestURI, r.URL.Path, r.Host, last)
	h := w.Header()
	h.Set("Response-Signature", run)
	piece := func(i int) string {
		return fmt.Sprintf("%s %d/%d run=%s version=%s\n", id, i, o.pieces, run, e.version)
	}
	if e.model {
		parts := strings.Split(r.Header.Get("Prompt-Prefix"), ",")
		_, own, _ := strings.Cut(parts[len(parts)-1], ":")
		tokens, _ := strconv.ParseFloat(own, 64)
		e.prefill.Lock()
		time.Sleep(time.Duration(tokens / prefillPerMs * float64(time.Millisecond)))
		e.prefill.Unlock()
		h.Set("Content-Type", "text/event-stream")
		line := piece
		piece = func(i int) string { return fmt.Sprintf("id: %d\ndata: %s\n", i, line(i)) }
	} else {
		h.Set("Content-Type", "text/plain")
		last = 0
	}
	write := func(text string) error {
		if _, err := io.WriteString(w, text); err != nil {
			return err
		}
		return http.NewResponseController(w).Flush()
	}
	if o.unframed {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		var head strings.Builder
		head.WriteString("HTTP/1.1 200 OK\r\n")
		_ = h.Write(&head) // never fails
		head.WriteString("Connection: close\r\n\r\n")
		write = func(text string) error {
			_, err := io.WriteString(connection, text)
			return err
		}
		if write(head.String()) != nil {
			return
		}
	}
	for i := last + 1; i <= o.pieces; i++ {
		if i > last+1 {
			select {
			case <-time.After(o.gap):
			case <-r.Context().Done():
				e.say("left id=%s run=%s", id, run)
				panic(http.ErrAbortHandler)
			}
		}
		if write(piece(i)) != nil {
			e.say("left id=%s run=%s", id, run)
			panic(http.ErrAbortHandler)
		}
	}
	e.say("end id=%s run=%s", id, run)
}
