package serve

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/loader/drive"
	"mangolug.org/mangoctl/stream"
	"mangolug.org/mangoctl/table"
	"mangolug.org/stage/local"
	"mangolug.org/stage/works"
)

// loadLength is how long one round of load lasts.
const loadLength = 10 * time.Second

// headerTimeout bounds the reading of a steering call's header.
const headerTimeout = 5 * time.Second

// Options are what a run needs.
type Options struct {
	Context context.Context `no-flag:"yes"`
	Streams *stream.Streams `no-flag:"yes"`
	User    string          `long:"user" default:"chenab" choice:"chenab" choice:"carraig" description:"whose example rule file"`
	Routers int             `long:"routers" default:"9" description:"routers, over the data centres in turn"`
	Load    bool            `long:"load" description:"also keep a load on the fleet"`
	Faults  string          `long:"faults" value-name:"IP:PORT" description:"put a fault link before each router's peer address, steered at this address"`
	Seed    uint64          `long:"seed" default:"1" description:"seed of the load"`
}

// Execute runs the command.
func (o *Options) Execute([]string) error { return serveRun(o) }

// NewAction makes the command's action.
func NewAction(ctx context.Context, s *stream.Streams) *Options {
	return &Options{Context: ctx, Streams: s}
}

func serveRun(o *Options) error {
	root, err := local.Root()
	if err != nil {
		return err
	}
	base := map[string]local.Site{"chenab": local.Chenab(), "carraig": local.Carraig()}[o.User]
	site, size, err := works.ReadSite(base, filepath.Join(root, "examples", o.User+".rules"))
	if err != nil {
		return err
	}
	programs, err := os.MkdirTemp("", "mangolug-programs-")
	if err != nil {
		return errors.Wrap(err, "folder for programs")
	}
	defer func() { _ = os.RemoveAll(programs) }()
	if err := local.Build(o.Context, programs); err != nil {
		return err
	}
	f, err := local.Start(local.Settings{
		Site: site, Programs: programs, Routers: o.Routers, Engines: size.Engines, Desks: size.Desks,
		EngineLimit: size.EngineLimit, DeskLimit: size.DeskLimit, EngineArgs: []string{"--token-time", "20ms"},
		PeerFaults: o.Faults != "",
	})
	if err != nil {
		return errors.Wrap(err, "start fleet")
	}
	defer f.Close()
	if err := o.steer(f); err != nil {
		return err
	}
	if err := o.show(f); err != nil {
		return err
	}
	return o.keep(f)
}

// steer serves the fault links' control interface, if wanted, until the run ends.
func (o *Options) steer(f *local.Fleet) error {
	if o.Faults == "" {
		return nil
	}
	listener, err := net.Listen("tcp", o.Faults)
	if err != nil {
		return errors.Wrap(err, "--faults")
	}
	server := &http.Server{Handler: f.Faults.Handler(), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(o.Context, func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return nil
}

// show writes where the fleet is to be reached.
func (o *Options) show(f *local.Fleet) error {
	t := &table.Table{Kind: "process", Title: "fleet", Header: []string{"NAME", "DATA CENTRE", "CALLERS", "ADMIN OR CONTROL"}}
	for _, r := range f.Routers {
		t.Add(r.Name, r.DataCentre, r.Listen, r.Admin)
	}
	for _, s := range f.Servers {
		t.Add(s.Name, s.DataCentre, s.Listen, "http://"+s.Listen+"/control/record")
	}
	t.Add("platform", "-", "-", f.PlatURL)
	if err := t.Write(o.Streams); err != nil {
		return err
	}
	_, err := fmt.Fprintf(o.Streams.ErrOut, "export MANGOLUG_ROUTER=%s\nlogs are in %s; a team's key is %s; interrupt to stop\n",
		f.Routers[0].Admin, f.Dir, f.Site.Teams[0].Key()+" for "+f.Site.Teams[0].Name)
	return errors.Wrap(err, "write")
}

// keep waits for the interrupt, under load if wanted.
func (o *Options) keep(f *local.Fleet) error {
	if !o.Load {
		<-o.Context.Done()
		return nil
	}
	for seed := o.Seed; o.Context.Err() == nil; seed++ {
		load := works.Load{Case: works.Balanced, Seed: seed, Length: loadLength, Cut: true}
		if _, err := drive.Run(o.Context, load.Plan(f)); err != nil {
			return err
		}
	}
	return nil
}
