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
	// restartDelay is the delay before a failed child is restarted.
	restartDelay = 100 * time.Millisecond
	// restartLimit is the number of failures of one child within restartWindow at which its tree fails.
	restartLimit  = 5
	restartWindow = 10 * time.Second
)

// Child is a supervised component. Run must block until its context is done or the component fails.
type Child struct {
	Name     string
	Run      func(ctx context.Context) error
	Critical bool // its state cannot survive a restart, so its failure ends the tree
}

// Tree runs and supervises children. A tree's Run can be the Run of another tree's child.
type Tree struct {
	Name     string
	Children []Child
	Log      *log.Logger      // nil disables logging
	Metrics  metrics.Registry // nil means the default registry
}

// ChildError is returned by Tree.Run when the failure of a child ended the tree.
type ChildError struct {
	Tree, Child string
	Cause       error
}

// Error returns a message with the tree, the child and the cause.
func (e *ChildError) Error() string {
	return fmt.Sprintf("%s/%s: %v", e.Tree, e.Child, e.Cause)
}

// Unwrap returns the cause.
func (e *ChildError) Unwrap() error { return e.Cause }

// Run runs all children until the context is done and then returns nil. It returns a *ChildError if a critical child fails, or if
// another child fails restartLimit times within restartWindow.
func (t *Tree) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	failed := make(chan error, len(t.Children))
	for _, c := range t.Children {
		group.Go(func() {
			if err := t.supervise(ctx, c); err != nil {
				failed <- &ChildError{Tree: t.Name, Child: c.Name, Cause: err}
				cancel()
			}
		})
	}
	group.Wait()
	select {
	case err := <-failed:
		return err
	default:
		return nil
	}
}

// supervise runs a child and restarts it after failures until the context is done. It returns the child's error if the tree must end.
func (t *Tree) supervise(ctx context.Context, c Child) error {
	var failures []time.Time
	for {
		err := runRecovered(ctx, c)
		if ctx.Err() != nil {
			return nil
		}
		if err == nil {
			err = errors.New("returned before its context was done")
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
		pauses.Sleep(ctx, restartDelay)
		if ctx.Err() != nil {
			return nil
		}
	}
}

// runRecovered runs the child and returns a panic as an error.
func runRecovered(ctx context.Context, c Child) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = errors.Errorf("panic: %v", p)
		}
	}()
	return c.Run(ctx)
}
