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

	"mangolug.org/engine/batch"
)

type options struct {
	Listen      []string      `long:"listen" env:"MANGOLUG_ENGINE_LISTEN" env-delim:"," default:"127.0.0.1:9001" description:"address of an engine, ip:port; repeat for several engines"`
	Name        []string      `long:"name" env:"MANGOLUG_ENGINE_NAME" env-delim:"," description:"name of each engine, in the order of --listen"`
	Limit       int           `long:"limit" env:"MANGOLUG_ENGINE_LIMIT" default:"8" description:"requests that an engine serves at once"`
	Queue       int           `long:"queue" env:"MANGOLUG_ENGINE_QUEUE" default:"32" description:"requests admitted beyond the limit"`
	TokenTime   time.Duration `long:"token-time" env:"MANGOLUG_ENGINE_TOKEN_TIME" default:"5ms" description:"time between two tokens of a request that runs alone"`
	Growth      float64       `long:"growth" env:"MANGOLUG_ENGINE_GROWTH" default:"0.05" description:"part of the token time that each further request adds"`
	PrefillTime time.Duration `long:"prefill-time" env:"MANGOLUG_ENGINE_PREFILL_TIME" default:"100us" description:"time for each prompt token that is not in the cache"`
	CacheBlocks int           `long:"cache-blocks" env:"MANGOLUG_ENGINE_CACHE_BLOCKS" default:"1024" description:"prompt prefix blocks of 64 bytes kept"`
	LoadLag     time.Duration `long:"load-lag" env:"MANGOLUG_ENGINE_LOAD_LAG" default:"200ms" description:"age of what GET /load reports"`
	Fencing     bool          `long:"fencing" env:"MANGOLUG_ENGINE_FENCING" description:"refuse an old Fencing-Term"`
	Cold        bool          `long:"cold" env:"MANGOLUG_ENGINE_COLD" description:"start cold"`
	ColdLimit   int           `long:"cold-limit" env:"MANGOLUG_ENGINE_COLD_LIMIT" default:"2" description:"requests that a cold engine can serve at first; it breaks above twice its capacity"`
	WarmAfter   int           `long:"warm-after" env:"MANGOLUG_ENGINE_WARM_AFTER" default:"2" description:"completed requests that add one to a cold engine's capacity"`
	RestartTime time.Duration `long:"restart-time" env:"MANGOLUG_ENGINE_RESTART_TIME" default:"500ms" description:"time that a restart takes"`
}

func main() {
	var opts options
	if _, err := flags.Parse(&opts); err != nil {
		os.Exit(2)
	}
	if err := engineRun(&opts); err != nil {
		log.Error("engine ended", "error", err)
		os.Exit(1)
	}
}

func (o *options) settings() batch.Settings {
	return batch.Settings{
		Limit: o.Limit, Queue: o.Queue, TokenTime: o.TokenTime, Growth: o.Growth, PrefillTime: o.PrefillTime,
		CacheBlocks: o.CacheBlocks, LoadLag: o.LoadLag, Fencing: o.Fencing,
		Cold: o.Cold, ColdLimit: o.ColdLimit, WarmAfter: o.WarmAfter, RestartTime: o.RestartTime,
	}
}

func (o *options) name(n int) string {
	if n < len(o.Name) {
		return o.Name[n]
	}
	return fmt.Sprintf("engine-%d", n+1)
}

func engineRun(opts *options) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ended := make(chan error, len(opts.Listen))
	for n, address := range opts.Listen {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		engine := &batch.Engine{Name: opts.name(n), Settings: opts.settings()}
		log.Info("serving", "server", engine.Name, "address", listener.Addr())
		server := &http.Server{Handler: engine.Handler(), ReadHeaderTimeout: 5 * time.Second}
		context.AfterFunc(ctx, func() { _ = server.Close() })
		go func() { ended <- server.Serve(listener) }()
	}
	if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
