// Package main is stage, which runs a fleet of mangolug on this machine: the demonstration, the measures and the integration tests.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"mangolug.org/mangoctl/stream"
	"mangolug.org/stage/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	code := root.Run(ctx, stream.System(), os.Args[1:])
	stop()
	os.Exit(code)
}
