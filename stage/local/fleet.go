package local

import (
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/faults/fault"
)

// Settings say what a fleet consists of.
type Settings struct {
	Site         Site
	Programs     string // folder that Build filled
	Routers      int    // over the site's data centres in turn
	Engines      int    // over the site's data centres in turn
	Desks        int    // over the site's data centres in turn
	EngineLimit  int    // concurrent requests that rules allow each engine
	DeskLimit    int    // concurrent requests that rules allow each desk
	EngineArgs   []string
	DeskArgs     []string
	RouterArgs   []string
	Fencing      bool          // engines check fencing numbers
	PeerFaults   bool          // a fault link before each router's peer address
	PlatFaults   bool          // a fault link from each router to the platform
	ServerFaults bool          // a fault link before each backend server
	ReadyLimit   time.Duration // for the whole fleet; 0 for 20 s
}

// Router is one router of a fleet.
type Router struct {
	Process
	DataCentre  string
	IP          string
	Listen      string // for callers, ip:port
	PeerListen  string // ip:port
	PeerAddress string // as the platform's list gives it, ip:port
	Admin       string // ip:port
	PlatLink    string // name of the fault link to the platform
}

// Fleet is a running fleet; Close ends it.
type Fleet struct {
	Settings
	Dir      string // logs, rules and list of VMs
	Platform Process
	PlatURL  string
	Engines  Process // one process serves all engines
	Desks    Process // one process serves all desks
	Servers  []Server
	Routers  []*Router
	Faults   fault.Proxy // links are named after the router or server behind them
}

const (
	secret       = "local-fleet-secret"
	defaultReady = 20 * time.Second
	standInIP    = "127.0.0.1"
	linkTries    = 5 // a process that is just being started may still hold an address that was found free
)

// Start starts a fleet and waits until it is ready.
func Start(settings Settings) (*Fleet, error) {
	dir, err := os.MkdirTemp("", "mangolug-")
	if err != nil {
		return nil, errors.Wrap(err, "folder")
	}
	f := &Fleet{Settings: settings, Dir: dir}
	for _, step := range []func() error{f.placeServers, f.placeRouters, f.startStandIns, f.startRouters} {
		if err := step(); err != nil {
			f.Close()
			return nil, err
		}
	}
	limit := settings.ReadyLimit
	if limit == 0 {
		limit = defaultReady
	}
	if err := f.WaitReady(limit); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close kills all that runs and removes the logs.
func (f *Fleet) Close() {
	for _, p := range f.processes() {
		if p.Running() {
			_ = p.Kill()
		}
	}
	f.Faults.Close()
	_ = os.RemoveAll(f.Dir)
}

func (f *Fleet) processes() []*Process {
	list := []*Process{&f.Platform, &f.Engines, &f.Desks}
	for _, r := range f.Routers {
		list = append(list, &r.Process)
	}
	return list
}

func (f *Fleet) process(name, program string, args []string) Process {
	return Process{Name: name, Path: filepath.Join(f.Programs, program), Args: args, Log: filepath.Join(f.Dir, name+".log")}
}

// link puts a fault link before an address when wanted, and gives the address to use.
func (f *Fleet) link(wanted bool, name, ip, target string) (address string, err error) {
	if !wanted {
		return target, nil
	}
	for range linkTries {
		var listen string
		if listen, err = freeAddress(ip); err != nil {
			return "", err
		}
		if err = f.Faults.Open(fault.Link{Name: name, Listen: listen, Target: target}); err == nil {
			return listen, nil
		}
	}
	return "", err
}

func (f *Fleet) placeServers() error {
	place := func(count, limit int, product, name string, fencing bool) error {
		for n := range count {
			listen, err := freeAddress(standInIP)
			if err != nil {
				return err
			}
			server := Server{
				Name: fmt.Sprintf("%s-%d", name, n+1), Product: product, Listen: listen, Limit: limit, Fencing: fencing,
				DataCentre: f.Site.DataCentres[n%len(f.Site.DataCentres)],
			}
			if server.Address, err = f.link(f.ServerFaults, server.Name, standInIP, listen); err != nil {
				return err
			}
			f.Servers = append(f.Servers, server)
		}
		return nil
	}
	if err := place(f.Settings.Engines, f.EngineLimit, f.Site.Model, f.Site.Engine, f.Fencing); err != nil {
		return err
	}
	return place(f.Settings.Desks, f.DeskLimit, f.Site.Plain, f.Site.Desk, false)
}

func (f *Fleet) placeRouters() error {
	for n := range f.Settings.Routers {
		centre := n % len(f.Site.DataCentres)
		r := &Router{DataCentre: f.Site.DataCentres[centre], IP: fmt.Sprintf("127.0.%d.%d", centre+1, n/len(f.Site.DataCentres)+1)}
		r.Name = fmt.Sprintf("router-%d", n+1)
		for _, address := range []*string{&r.Listen, &r.PeerListen, &r.Admin} {
			free, err := freeAddress(r.IP)
			if err != nil {
				return err
			}
			*address = free
		}
		var err error
		if r.PeerAddress, err = f.link(f.PeerFaults, r.Name, r.IP, r.PeerListen); err != nil {
			return err
		}
		f.Routers = append(f.Routers, r)
	}
	return nil
}

func (f *Fleet) startStandIns() error {
	rules, vms := filepath.Join(f.Dir, "rules"), filepath.Join(f.Dir, "vms.json")
	if err := os.WriteFile(rules, []byte(f.Rules()), 0o600); err != nil {
		return errors.Wrap(err, "rules")
	}
	if err := writeJSON(vms, f.VMs()); err != nil {
		return err
	}
	address, err := freeAddress(standInIP)
	if err != nil {
		return err
	}
	f.PlatURL = "http://" + address
	f.Platform = f.process("platform", "bulletin", []string{"--listen", address, "--rules", rules, "--vms", vms})
	engineArgs := append([]string{"--limit", strconv.Itoa(f.EngineLimit)}, f.EngineArgs...)
	if f.Fencing {
		engineArgs = append(engineArgs, "--fencing")
	}
	f.Engines = f.process("engines", "engine", f.serve(f.Site.Model, engineArgs))
	f.Desks = f.process("desks", "desk", f.serve(f.Site.Plain, append([]string{"--limit", strconv.Itoa(f.DeskLimit)}, f.DeskArgs...)))
	if err := f.Platform.Start(); err != nil {
		return err
	}
	for _, p := range []*Process{&f.Engines, &f.Desks} {
		if err := p.Start(); err != nil {
			return err
		}
	}
	return nil
}

// serve gives the arguments for one process that serves all servers of a product.
func (f *Fleet) serve(product string, args []string) []string {
	for _, s := range f.Servers {
		if s.Product == product {
			args = append(args, "--listen", s.Listen, "--name", s.Name)
		}
	}
	return args
}

func (f *Fleet) startRouters() error {
	platform := strings.TrimPrefix(f.PlatURL, "http://")
	for _, r := range f.Routers {
		r.PlatLink = "platform of " + r.Name
		address, err := f.link(f.PlatFaults, r.PlatLink, r.IP, platform)
		if err != nil {
			return err
		}
		process := f.process(r.Name, "router", append([]string{
			"--name", r.Name, "--data-centre", r.DataCentre,
			"--listen", r.Listen, "--peer-listen", r.PeerListen, "--peer-address", r.PeerAddress,
			"--admin", r.Admin, "--platform", "http://" + address, "--secret", secret, "--source", r.IP,
		}, f.RouterArgs...))
		r.Path, r.Args, r.Log = process.Path, process.Args, process.Log
		if err := r.Start(); err != nil {
			return err
		}
	}
	return nil
}
