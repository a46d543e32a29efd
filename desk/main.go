package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/desk/record"
)

type options struct {
	Listen      []string      `long:"listen" env:"MANGOLUG_DESK_LISTEN" env-delim:"," default:"127.0.0.1:9101" description:"address of a desk, ip:port; repeat for several desks"`
	Name        []string      `long:"name" env:"MANGOLUG_DESK_NAME" env-delim:"," description:"name of each desk, in the order of --listen"`
	Limit       int           `long:"limit" env:"MANGOLUG_DESK_LIMIT" default:"16" description:"calls that a desk admits at once"`
	ServiceTime time.Duration `long:"service-time" env:"MANGOLUG_DESK_SERVICE_TIME" default:"5ms" description:"time that each call takes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := deskRun(&opts); err != nil {
		log.Error("desk ended", "error", err)
		os.Exit(1)
	}
}

func (o *options) name(n int) string {
	if n < len(o.Name) {
		return o.Name[n]
	}
	return fmt.Sprintf("desk-%d", n+1)
}

func deskRun(opts *options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ended := make(chan error, len(opts.Listen))
	for n, address := range opts.Listen {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		desk := &record.Desk{Name: opts.name(n), Limit: opts.Limit, ServiceTime: opts.ServiceTime}
		log.Info("serving", "server", desk.Name, "address", listener.Addr())
		server := &http.Server{Handler: desk.Handler(), ReadHeaderTimeout: 5 * time.Second}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() { ended <- server.Serve(listener) }()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
