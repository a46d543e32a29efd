package proof

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"mangolug.org/stage/local"
)

const (
	buildLimit = 5 * time.Minute
	readyLimit = 15 * time.Second
	logsEnv    = "MANGOLUG_PROOF_LOGS" // folder that keeps the logs of failed tests
)

var programs string // folder of the built programs

func TestMain(m *testing.M) { os.Exit(run(m)) }

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "mangolug-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildLimit)
	defer cancel()
	if err := local.Build(ctx, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs = dir
	return m.Run()
}

// settings gives a small fleet: one router, one engine and one desk in each data centre.
func settings(site local.Site) local.Settings {
	return local.Settings{
		Site: site, Programs: programs, Routers: 3, Engines: 3, Desks: 3, EngineLimit: 4, DeskLimit: 8,
		EngineArgs: []string{"--token-time", "2ms", "--load-lag", "100ms"},
		DeskArgs:   []string{"--service-time", "10ms"},
		ReadyLimit: readyLimit,
	}
}

// start starts a fleet that ends with the test; the logs of a failed test are kept.
func start(t *testing.T, s local.Settings) *local.Fleet {
	t.Helper()
	f, err := local.Start(s)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if dir := os.Getenv(logsEnv); t.Failed() && dir != "" {
			if err := f.KeepLogs(filepath.Join(dir, strings.ReplaceAll(t.Name(), "/", "-"))); err != nil {
				t.Log(err)
			}
		}
		f.Close()
	})
	return f
}

// must ends the test at an error.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// within polls a condition and ends the test when it does not hold in time.
func within(t *testing.T, limit time.Duration, holds func() error) {
	t.Helper()
	must(t, local.Until(limit, holds))
}
