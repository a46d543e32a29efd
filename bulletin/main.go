package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/bulletin/serve"
)

type options struct {
	Listen string        `long:"listen" env:"MANGOLUG_PLATFORM_LISTEN" default:"127.0.0.1:8700" description:"address to serve at, ip:port"`
	Rules  string        `long:"rules" env:"MANGOLUG_PLATFORM_RULES" description:"rule file published as version 1"`
	VMs    string        `long:"vms" env:"MANGOLUG_PLATFORM_VMS" description:"list of VMs, JSON as served at /v1/vms"`
	VMLag  time.Duration `long:"vm-lag" env:"MANGOLUG_PLATFORM_VM_LAG" default:"0s" description:"time from an edit of the VM list to its being served"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := platformRun(&opts); err != nil {
		log.Error("platform ended", "error", err)
		os.Exit(1)
	}
}

func platformRun(opts *options) error {
	platform := &serve.Platform{VMLag: opts.VMLag}
	if opts.Rules != "" {
		text, err := os.ReadFile(opts.Rules)
		if err != nil {
			return errors.Wrap(err, "rules")
		}
		platform.Publish(text, 0)
	}
	if opts.VMs != "" {
		text, err := os.ReadFile(opts.VMs)
		if err != nil {
			return errors.Wrap(err, "vms")
		}
		var list serve.VMList
		if err := json.Unmarshal(text, &list); err != nil {
			return errors.Wrapf(err, "vms %s", opts.VMs)
		}
		platform.SetVMs(list, 0)
	}
	listener, err := net.Listen("tcp", opts.Listen)
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	log.Info("serving", "address", listener.Addr())
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	server := &http.Server{Handler: platform.Handler(), ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
