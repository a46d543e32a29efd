package sigs

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Signals are the signals that a process has received.
type Signals struct {
	Stop   context.Context  // done after the first SIGTERM or SIGINT
	Force  context.Context  // done after the second
	Hangup <-chan os.Signal // receives once for one or more SIGHUP that have not been received from it
}

// Catch takes over SIGTERM, SIGINT and SIGHUP. They are never given back: their default action would end a process that still drains its requests.
// A program calls it before anything else, so that none of them ends it while it starts.
func Catch() *Signals {
	stops, hangups := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, os.Interrupt)
	signal.Notify(hangups, syscall.SIGHUP)
	stop, first := context.WithCancel(context.Background())
	force, second := context.WithCancel(context.Background())
	go func() {
		<-stops
		first()
		<-stops
		second()
	}()
	return &Signals{Stop: stop, Force: force, Hangup: hangups}
}
