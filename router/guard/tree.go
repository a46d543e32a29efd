package guard

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
	"github.com/rcrowley/go-metrics"

	"mangolug.org/router/pauses"
)

const (
	// restartDelay is the wait before a failed child is started again.
	restartDelay = 100 * time.Millisecond
	// restartLimit failures of one child within restartWindow end its tree.
	restartLimit  = 5
	restartWindow = 10 * time.Second
)

// Child is one supervised part; Run returns when its context ends or it fails.
type Child struct {
	Name     string
	Run      func(ctx context.Context) error
	Critical bool // holds state that a restart would lose: its failure ends the tree
}

// Tree runs children together; a tree may be another tree's child.
type Tree struct {
	Name     string
	Children []Child
	Log      *log.Logger      // nil logs nothing
	Metrics  metrics.Registry // nil uses the default registry
}

// ChildError says which child ended its tree.
type ChildError struct {
	Tree, Child string
	Cause       error
}

// Error gives the path to the child and the cause.
func (e *ChildError) Error() string {
	return fmt.Sprintf("%s/%s: %v", e.Tree, e.Child, e.Cause)
}

// Unwrap gives the cause.
func (e *ChildError) Unwrap() error { return e.Cause }

// Run starts all children and returns when the context ends, or with a
// *ChildError when a critical child fails or another fails too often.
func (t *Tree) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wait sync.WaitGroup
	failed := make(chan error, len(t.Children))
	for _, c := range t.Children {
		wait.Go(func() {
			if err := t.supervise(ctx, c); err != nil {
				failed <- &ChildError{Tree: t.Name, Child: c.Name, Cause: err}
				cancel()
			}
		})
	}
	wait.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// supervise restarts one child until the context ends or its failures are too many.
func (t *Tree) supervise(ctx context.Context, c Child) error {
	var failures []time.Time
	for {
		err := contain(ctx, c)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			err = errors.New("ended before it was told to")
		}
		metrics.GetOrRegisterCounter("guard.failed."+c.Name, t.Metrics).Inc(1)
		if t.Log != nil {
			t.Log.Error("child failed", "tree", t.Name, "child", c.Name, "error", err)
		}
		if c.Critical {
			return err
		}
		failures = append(failures, time.Now())
		for time.Since(failures[0]) > restartWindow {
			failures = failures[1:]
		}
		if len(failures) >= restartLimit {
			return errors.Wrapf(err, "failed %d times within %v", len(failures), restartWindow)
		}
		pauses.For(ctx, restartDelay)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// contain turns a panic of the child into its error.
func contain(ctx context.Context, c Child) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("panic: %v", p)
		}
	}()
	return c.Run(ctx)
}
