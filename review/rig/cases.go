package main

import (
	"fmt"
	"net/http"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Services of the deployment.
const (
	modelService = "stain-llm"
	plainService = "swatch-desk"
)

func modelServices() []table {
	return []table{{"Name": modelService, "HealthPath": "/health", "ConnectionLimit": 370, "Engine": table{"Slots": 64, "KvCacheTokens": 264579}}}
}

func plainServices() []table {
	return []table{{"Name": plainService, "HealthPath": "/health", "ConnectionLimit": 110}}
}

// eventPattern matches a whole event of the engines.
var eventPattern = regexp.MustCompile(`id: ([0-9]+)\ndata: (\S+) ([0-9]+)/([0-9]+) run=(\S+) version=(\S+)\n\n`)

// stream is what a client got of a stream over its attempts.
type stream struct {
	last     int
	began    string
	versions []string
	done     bool
}

// take adds the events of an answer.
func (s *stream) take(a *answer) {
	for _, m := range eventPattern.FindAllStringSubmatch(string(a.body), -1) {
		s.last, _ = strconv.Atoi(m[1])
		if s.began == "" {
			s.began = a.id
		}
		if !slices.Contains(s.versions, m[6]) {
			s.versions = append(s.versions, m[6])
		}
	}
	s.done = a.status == http.StatusOK && a.whole
}

// playStream plays a client that asks for a stream and takes it up once if it breaks off.
func (r *rig) playStream(client, n, pieces int, gap time.Duration) *stream {
	s := &stream{}
	until := time.Now().Add(15 * time.Second)
	for attempt := range 2 {
		router := r.routers[(client+n+attempt)%len(r.routers)].front
		id := fmt.Sprintf("c%d-%d-%d", client, n, attempt)
		headers := []string{"Model: m", fmt.Sprintf("Token-Counts: 715,%d", 4*pieces), fmt.Sprintf("Prompt-Prefix: a%d:103,b%d:69,c%d%04d:543", client%4, client%16, client+1, n)}
		if s.last > 0 {
			headers = append(headers, fmt.Sprintf("Last-Event-Id: %d", s.last), "Resumes: "+s.began)
		}
		a := r.ask(router, "POST", "/notes/2f", id, fmt.Sprintf("pieces=%d gap=%d", pieces, gap.Milliseconds()), time.Until(until), headers...)
		s.take(a)
		if s.done || a.status >= 400 && a.status < 500 {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	if len(s.versions) > 1 {
		r.note("client c%d-%d: its stream holds events of versions %s", client, n, strings.Join(s.versions, " and "))
	}
	return s
}

// joinedVersions: an engine is restarted in place with another software version while the store is down, and ends again.
func joinedVersions(r *rig) (bool, error) {
	const clients = 48
	r.configure([]table{{
		"Name": "dispatch-note", "PathPrefix": "/notes/", "Service": modelService, "Kind": "streaming", "Resumable": true, "Attempts": 2,
		"TimeoutMs": 15000, "LatencyTargetMs": 1500, "GapTargetMs": 500, "StickySessions": true,
	}}, modelServices(), defaultLimits)
	for range 4 {
		if _, err := r.addEngine(modelService, true, "v1", ""); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	defer r.keepLogs()
	stop := make(chan struct{})
	var streams []*stream
	var mutex sync.Mutex
	var calls sync.WaitGroup
	for client := range clients {
		calls.Go(func() {
			time.Sleep(time.Duration(client) * 100 * time.Millisecond)
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				s := r.playStream(client, n, 70, 70*time.Millisecond)
				mutex.Lock()
				streams = append(streams, s)
				mutex.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	if r.trouble {
		r.note("the store goes down")
		r.store.setDown(true)
	}
	time.Sleep(500 * time.Millisecond)
	e := r.engines[0]
	r.kill(e)
	time.Sleep(time.Second)
	e.version = "v2"
	if err := r.startEngine(e); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	r.kill(e)
	time.Sleep(2 * time.Second)
	r.note("the store is up")
	r.store.setDown(false)
	time.Sleep(2 * time.Second)
	close(stop)
	calls.Wait()
	joined, done := 0, 0
	for _, s := range streams {
		if len(s.versions) > 1 {
			joined++
		}
		if s.done {
			done++
		}
	}
	r.note("%d streams, %d complete, %d hold events of two software versions; ORDER allows two", len(streams), done, joined)
	return joined > 2, nil
}

// streamsRefused: an engine crashes for good, and half a minute later all routers are killed at once. The other engines have one software version throughout.
func streamsRefused(r *rig) (bool, error) {
	const streams, pieces, gap, enough = 24, 40, 300 * time.Millisecond, 12
	r.configure([]table{{
		"Name": "dispatch-note", "PathPrefix": "/notes/", "Service": modelService, "Kind": "streaming", "Resumable": true, "Attempts": 2,
		"TimeoutMs": 15000, "LatencyTargetMs": 1500, "GapTargetMs": 500, "StickySessions": true,
	}}, modelServices(), defaultLimits)
	for range 5 {
		if _, err := r.addEngine(modelService, true, "v1", ""); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	defer r.keepLogs()
	if r.trouble && os.Getenv("TROUBLE") != "kill" { // TROUBLE=kill is the kill of the routers alone
		r.kill(r.engines[0])
	}
	time.Sleep(26 * time.Second)
	until := time.Now().Add(15 * time.Second)
	back := make(chan struct{})
	var mutex sync.Mutex
	taken, goOn, fresh, begin := 0, 0, 0, 0
	headers := func(client, n int) []string {
		return []string{"Model: m", fmt.Sprintf("Token-Counts: 715,%d", 4*pieces), fmt.Sprintf("Prompt-Prefix: a%d:103,b%d:69,c%d%04d:543", client%4, client%16, client+1, n)}
	}
	body := fmt.Sprintf("pieces=%d gap=%d", pieces, gap.Milliseconds())
	var calls sync.WaitGroup
	for client := range streams {
		calls.Go(func() {
			s, id := &stream{}, fmt.Sprintf("c%d-0", client)
			stay := time.Until(until)
			if !r.trouble {
				stay = 3 * time.Second // the client loses its connection
			}
			s.take(r.askFor(r.routers[client%3].front, "POST", "/notes/2f", id, body, time.Until(until), stay, headers(client, 0)...))
			<-back
			if s.last == 0 || s.done {
				return
			}
			from := s.last
			resumption := append(headers(client, 0), fmt.Sprintf("Last-Event-Id: %d", from), "Resumes: "+s.began)
			s.take(r.ask(r.routers[(client+1)%3].front, "POST", "/notes/2f", fmt.Sprintf("c%d-1", client), body, time.Until(until), resumption...))
			mutex.Lock()
			defer mutex.Unlock()
			taken++
			if s.last > from {
				goOn++
			}
		})
		calls.Go(func() {
			<-back
			s := &stream{}
			s.take(r.ask(r.routers[client%3].front, "POST", "/notes/2f", fmt.Sprintf("d%d-0", client), body, time.Until(until), headers(client, 1)...))
			mutex.Lock()
			defer mutex.Unlock()
			fresh++
			if s.last > 0 {
				begin++
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.note("all routers are killed")
		for _, o := range r.routers {
			_ = o.command.Process.Kill() // it runs
		}
		for _, o := range r.routers {
			<-o.ended
		}
		time.Sleep(500 * time.Millisecond)
		for _, o := range r.routers {
			if err := r.startRouter(o); err != nil {
				return false, err
			}
		}
		for _, o := range r.routers {
			if err := waitReady(o); err != nil {
				return false, err
			}
		}
		r.note("all routers are ready")
	}
	time.Sleep(4500 * time.Millisecond) // machines are in touch 3 s after their start
	close(back)
	calls.Wait()
	r.note("%d of %d streams that were taken up go on, %d of %d new ones begin; LOST allows no less than half as many", goOn, taken, begin, fresh)
	return taken >= enough && 2*goOn*fresh < begin*taken, nil
}

// hugeLimit: all engines of a service name a very high limit, and more long prompts come than they can read in time.
func hugeLimit(r *rig) (bool, error) {
	// usual is a third of the prompt tokens a second that chenab-samples has for nine engines, as requests of one kind; burst is the site's.
	const usual, burst = 27.0, 1.7
	limit := ""
	if r.trouble {
		limit = "10000000000"
	}
	r.configure([]table{{
		"Name": "colour-match", "PathPrefix": "/notes/", "Service": modelService, "Kind": "streaming", "Resumable": true, "Attempts": 2,
		"TimeoutMs": 5000, "LatencyTargetMs": 600, "GapTargetMs": 500, "StickySessions": true,
	}}, modelServices(), table{"HeaderBytes": 16384, "BodyBytes": 1 << 20, "HeaderTimeoutMs": 10000, "IdleTimeoutMs": 60000, "TokensPerS": 100000})
	for range 3 {
		if _, err := r.addEngine(modelService, true, "v1", limit); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(2); err != nil {
		return false, err
	}
	defer r.keepLogs()
	var mutex sync.Mutex
	unanswered, late := 0, 0
	var calls sync.WaitGroup
	ask := func(client int) {
		own := 1890 // tokens of the part that is the request's own; a tenth has more, as the sheet's mean and maximum say
		if client%10 == 9 {
			own = 11890
		}
		headers := []string{"Model: m", fmt.Sprintf("Token-Counts: %d,52", 6300+own), fmt.Sprintf("Prompt-Prefix: a%d:2520,b%d:3780,c%d:%d", client%4, client%16, 1000+client, own)}
		a := r.ask(r.routers[client%2].front, "POST", "/notes/2f", fmt.Sprintf("c%d", client), "pieces=13 gap=60", 7*time.Second, headers...)
		mutex.Lock()
		defer mutex.Unlock()
		if a.took > 5500*time.Millisecond {
			late++
		}
		if a.took > 4900*time.Millisecond {
			unanswered++
		}
	}
	client := 0
	for _, phase := range []struct {
		perSecond float64
		length    time.Duration
	}{{usual, 3 * time.Second}, {usual * burst, 3 * time.Second}, {usual, 6 * time.Second}} {
		r.note("%.0f requests a second", phase.perSecond)
		for until := time.Now().Add(phase.length); time.Now().Before(until); client++ {
			calls.Go(func() { ask(client) })
			time.Sleep(time.Duration(float64(time.Second) / phase.perSecond))
		}
	}
	calls.Wait()
	for _, o := range r.routers {
		status, err := readiness(o)
		r.note("router %s: readiness %d, %v", o.front, status, err)
	}
	r.note("%d requests were unanswered at their route's TimeoutMs, %d of them half a second later; CONFIG allows half", unanswered, late)
	return unanswered > 0 && 2*late > unanswered, nil
}

// extraRejections: engines in trouble send bytes after complete answers, and callers send requests that may run once. With EXTRA=421 in the environment the bytes are a
// 421, and callers go on for some time after the trouble.
func extraRejections(r *rig) (bool, error) {
	const clients, share, trouble, after = 12, 0.03, 5 * time.Second, 15 * time.Second
	r.configure([]table{{
		"Name": "post-sample", "PathPrefix": "/post/", "Service": plainService, "Kind": "unsafe", "Public": true, "Attempts": 1, "TimeoutMs": 3000, "LatencyTargetMs": 300,
	}}, plainServices(), defaultLimits)
	length, status, faulty := trouble, http.StatusBadRequest, 2
	if os.Getenv("EXTRA") == "421" {
		length, status, faulty = trouble+after, http.StatusMisdirectedRequest, 3
	}
	for i := range 3 {
		e := r.newEngine(plainService, false, "v1", "")
		e.byHand, e.extraStatus = true, status
		if i < faulty {
			e.extra = share
		}
		if err := r.startEngine(e); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(2); err != nil {
		return false, err
	}
	defer r.keepLogs()
	began := time.Now()
	var mutex sync.Mutex
	answers := map[string]*answer{}
	late, lateServed := 0, 0
	var calls sync.WaitGroup
	for client := range clients {
		calls.Go(func() {
			for n := 0; time.Since(began) < length; n++ {
				var headers []string
				if r.trouble && time.Since(began) < trouble {
					headers = append(headers, troubleHeader+": 1")
				}
				settled := time.Since(began) > trouble+after/3
				a := r.ask(r.routers[client%2].front, "POST", "/post/2f", fmt.Sprintf("c%d-%d", client, n), "a sample card", 4*time.Second, headers...)
				mutex.Lock()
				answers[a.id] = a
				if settled {
					late++
					if a.status == http.StatusOK {
						lateServed++
					}
				}
				mutex.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	calls.Wait()
	time.Sleep(300 * time.Millisecond)
	r.mutex.Lock()
	runs := map[string][]string{}
	for _, run := range r.runs {
		runs[run["id"]] = append(runs[run["id"]], run["run"])
	}
	r.mutex.Unlock()
	twice, refused := 0, 0
	for id, list := range runs {
		if len(list) > 1 {
			twice++
			r.note("client %s: its unsafe request ran %d times: %s", id, len(list), strings.Join(list, " and "))
		}
		if a := answers[id]; a != nil && slices.Contains([]int{408, 421, 429, 503}, a.status) {
			refused++
			r.note("client %s: its unsafe request was answered %d and ran: %s", id, a.status, list[0])
		}
	}
	if late > 0 {
		r.note("%d of %d requests were served that were sent 5 s or more after the trouble", lateServed, late)
	}
	r.note("%d unsafe requests, %d ran more than once, %d ran though they were answered with a promise; TWICE and REFUSED allow none", len(answers), twice, refused)
	return twice > 0 || refused > 0, nil
}

// unsignedOptions: clients ask for the options of the whole server.
func unsignedOptions(r *rig) (bool, error) {
	r.configure([]table{
		{"Name": "track-parcel", "PathPrefix": "/track/", "Service": plainService, "Kind": "safe", "Public": true, "Attempts": 2, "TimeoutMs": 4000, "LatencyTargetMs": 300},
	}, plainServices(), defaultLimits)
	for range 2 {
		if _, err := r.addEngine(plainService, false, "v1", ""); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(2); err != nil {
		return false, err
	}
	asked := [][2]string{{"GET", "/track/2f"}, {"OPTIONS", "/track/2f"}, {"OPTIONS", "/other/2f"}}
	if r.trouble {
		asked = append(asked, [2]string{"OPTIONS", "*"})
	}
	wrong := 0
	for n := range 5 {
		for i, o := range r.routers {
			for k, q := range asked {
				a := r.ask(o.front, q[0], q[1], fmt.Sprintf("c%d-%d-%d", n, i, k), "", 4*time.Second)
				if a.status/100 == 2 && a.header.Get("Response-Signature") == "" {
					wrong++
				}
			}
		}
	}
	r.note("%d successes without an engine's signature; MIXED allows none", wrong)
	return wrong > 0, nil
}

// sameAddresses: the engines of a zone, which has all of a plain service, crash and are back at their addresses under new ids, and all routers are killed before the old entries have lapsed.
func sameAddresses(r *rig) (bool, error) {
	const clients, down, recovery, judged = 12, 600 * time.Millisecond, 12 * time.Second, 5 * time.Second
	r.configure([]table{{
		"Name": "track-parcel", "PathPrefix": "/track/", "Service": plainService, "Kind": "safe", "Public": true, "Attempts": 2, "TimeoutMs": 4000, "LatencyTargetMs": 300,
	}}, plainServices(), defaultLimits)
	for i := range 3 {
		e := r.newEngine(plainService, false, "v1", "")
		e.byHand, e.zone, e.id = true, zones[0], fmt.Sprintf("i-%d%s", 7+i, e.id[2:])
		if err := r.startEngine(e); err != nil {
			return false, err
		}
	}
	if err := r.startRouters(3); err != nil {
		return false, err
	}
	defer r.keepLogs()
	var mutex sync.Mutex
	var answers []*answer
	stop := make(chan struct{})
	var calls sync.WaitGroup
	for client := range clients {
		calls.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				a := r.ask(r.routers[(client+n)%3].front, "GET", "/track/2f", fmt.Sprintf("c%d-%d", client, n), "", 4*time.Second)
				mutex.Lock()
				answers = append(answers, a)
				mutex.Unlock()
			}
		})
	}
	time.Sleep(4 * time.Second)
	crash := time.Since(r.began)
	if r.trouble {
		old := slices.Clone(r.engines)
		for _, e := range old {
			r.kill(e)
		}
		time.Sleep(time.Second)
		for i, o := range old {
			e := r.newEngine(plainService, false, "v1", "")
			e.byHand, e.id, e.address, e.zone = true, fmt.Sprintf("i-%d%s", 1+i, e.id[2:]), o.address, o.zone
			if err := r.startEngine(e); err != nil {
				return false, err
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.note("all routers are killed")
	for _, o := range r.routers {
		_ = o.command.Process.Kill() // it runs
	}
	for _, o := range r.routers {
		<-o.ended
	}
	time.Sleep(down)
	for _, o := range r.routers {
		if err := r.startRouter(o); err != nil {
			return false, err
		}
	}
	r.note("all routers are back")
	back := time.Since(r.began)
	time.Sleep(recovery + judged)
	close(stop)
	calls.Wait()
	served := func(from, to time.Duration) (ok, all int) {
		for _, a := range answers {
			if a.began >= from && a.began < to {
				all++
				if a.status == http.StatusOK && a.whole {
					ok++
				}
			}
		}
		return ok, all
	}
	before, asked := served(0, crash)
	after, again := served(back+recovery, back+recovery+judged)
	r.note("%d of %d requests were served before, %d of %d that were sent later than 12 s after the machines are back; RECOVER allows a quarter at least", before, asked, after, again)
	return 4*before >= asked && 4*after < again, nil
}
