package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/router/boot"
)

// Exit codes.
const (
	exitFailed   = 1 // the router failed or cut requests while it stopped
	exitSettings = 2 // a setting is wrong
)

func main() {
	settings, err := boot.Parse(os.Args[1:])
	if err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			fmt.Println(err)
			return
		}
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(exitSettings)
	}
	router, err := boot.New(settings)
	if err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(exitSettings)
	}
	stop, hurry := signals()
	if err := router.Run(stop, hurry); err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(exitFailed)
	}
}

// signals gives a context that ends with the first signal to stop, and one that ends with the second.
func signals() (stop, hurry context.Context) {
	stop, first := context.WithCancel(context.Background())
	hurry, second := context.WithCancel(context.Background())
	caught := make(chan os.Signal, 2)
	signal.Notify(caught, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-caught
		first()
		<-caught
		second()
	}()
	return stop, hurry
}
