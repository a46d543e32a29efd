package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"

	"mangolug.org/loader/drive"
	"mangolug.org/loader/plan"
	"mangolug.org/loader/tally"
)

type options struct {
	JSON bool   `long:"json" env:"MANGOLUG_LOADER_JSON" description:"write the result as JSON"`
	Out  string `long:"out" env:"MANGOLUG_LOADER_OUT" value-name:"FILE" description:"also write the result as JSON to this file"`
	Args struct {
		Plan string `positional-arg-name:"PLAN" description:"plan file, JSON"`
	} `positional-args:"yes" required:"yes"`
}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	defer stop()
	var o options
	if _, err := flags.NewParser(&o, flags.Default).Parse(); err != nil {
		os.Exit(2)
	}
	if err := run(ctx, o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, o options) error {
	p, err := plan.Read(o.Args.Plan)
	if err != nil {
		return err
	}
	result, err := drive.Run(ctx, p)
	if err != nil {
		return err
	}
	if o.Out != "" {
		if err := tally.Save(o.Out, result); err != nil {
			return err
		}
	}
	if o.JSON {
		return tally.WriteJSON(os.Stdout, result)
	}
	return tally.WriteTable(os.Stdout, result)
}
