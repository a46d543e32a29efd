package main

import (
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"mangolug.org/router/boot"
	"mangolug.org/router/sigs"
)

// Exit codes.
const (
	exitFailed   = 1 // the router failed or cut requests while it stopped
	exitSettings = 2 // a setting is wrong
)

func main() {
	signals := sigs.Catch()
	go ignoreHangups(signals.Hangup)
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
	if err := router.Run(signals.Stop, signals.Force); err != nil {
		fmt.Fprintln(os.Stderr, "router:", err)
		os.Exit(exitFailed)
	}
}

// ignoreHangups reports each SIGHUP without acting on it: the router has no settings file, so that there is nothing to reload.
func ignoreHangups(hangups <-chan os.Signal) {
	for range hangups {
		fmt.Fprintln(os.Stderr, "router: SIGHUP ignored: settings are read when the router starts")
	}
}
