package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/faults/fault"
)

type options struct {
	Link    []string `long:"link" env:"MANGOLUG_FAULTS_LINK" env-delim:"," required:"true" description:"name=listen=target, the addresses as ip:port; repeat for several links"`
	Control string   `long:"control" env:"MANGOLUG_FAULTS_CONTROL" default:"127.0.0.1:8790" description:"address of the control interface, ip:port"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := faultsRun(&opts); err != nil {
		log.Error("faults ended", "error", err)
		os.Exit(1)
	}
}

func parseLink(text string) (fault.Link, error) {
	parts := strings.Split(text, "=")
	if len(parts) != 3 {
		return fault.Link{}, errors.Errorf("--link %q: write name=listen=target", text)
	}
	return fault.Link{Name: parts[0], Listen: parts[1], Target: parts[2]}, nil
}

func faultsRun(opts *options) error {
	proxy := &fault.Proxy{}
	defer proxy.Close()
	for _, text := range opts.Link {
		link, err := parseLink(text)
		if err != nil {
			return err
		}
		if err := proxy.Open(link); err != nil {
			return err
		}
		log.Info("forwarding", "link", link.Name, "listen", link.Listen, "target", link.Target)
	}
	listener, err := net.Listen("tcp", opts.Control)
	if err != nil {
		return errors.Wrap(err, "control")
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	server := &http.Server{Handler: proxy.Handler(), ReadHeaderTimeout: 5 * time.Second}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
