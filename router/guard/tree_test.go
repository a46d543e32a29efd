package guard

import (
	"context"
	"testing"

	"github.com/pkg/errors"
)

func TestTree(t *testing.T) {
	failure := errors.New("failure")
	cases := map[string]struct {
		critical bool
		panics   bool
		failures int // before the child stays up
		runs     int
		ends     bool // the tree ends with the child's failure
	}{
		"restarts":                {failures: 2, runs: 3},
		"restarts after panic":    {failures: 1, panics: true, runs: 2},
		"critical ends the tree":  {critical: true, failures: 1, runs: 1, ends: true},
		"too many ends the tree":  {failures: restartLimit, runs: restartLimit, ends: true},
		"critical panic also":     {critical: true, panics: true, failures: 1, runs: 1, ends: true},
		"no failure, no restarts": {runs: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			runs := 0
			child := Child{Name: "child", Critical: c.critical, Run: func(ctx context.Context) error {
				runs++
				if runs <= c.failures {
					if c.panics {
						panic("failure")
					}
					return failure
				}
				cancel()
				<-ctx.Done()
				return nil
			}}
			tree := Tree{Name: "tree", Children: []Child{child}}
			err := tree.Run(ctx)
			var broken *ChildError
			if got := errors.As(err, &broken); got != c.ends {
				t.Errorf("tree ended with %v, want a child's error: %v", err, c.ends)
			}
			if runs != c.runs {
				t.Errorf("%d runs, want %d", runs, c.runs)
			}
		})
	}
}
