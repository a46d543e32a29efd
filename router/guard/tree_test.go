package guard

import (
	"context"
	"testing"

	"github.com/pkg/errors"
)

func TestTree(t *testing.T) {
	failure := errors.New("failure")
	tests := map[string]struct {
		critical  bool
		panics    bool
		failures  int // number of failures before the child keeps running
		runs      int
		treeFails bool // the tree's Run must return a *ChildError
	}{
		"restarts":                {failures: 2, runs: 3},
		"restarts after panic":    {failures: 1, panics: true, runs: 2},
		"critical ends the tree":  {critical: true, failures: 1, runs: 1, treeFails: true},
		"too many ends the tree":  {failures: restartLimit, runs: restartLimit, treeFails: true},
		"critical panic also":     {critical: true, panics: true, failures: 1, runs: 1, treeFails: true},
		"no failure, no restarts": {runs: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			runs := 0
			child := Child{Name: "child", Critical: tt.critical, Run: func(ctx context.Context) error {
				runs++
				if runs <= tt.failures {
					if tt.panics {
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
			var childError *ChildError
			if got := errors.As(err, &childError); got != tt.treeFails {
				t.Errorf("Run returned %v, want a *ChildError: %v", err, tt.treeFails)
			}
			if runs != tt.runs {
				t.Errorf("%d runs, want %d", runs, tt.runs)
			}
		})
	}
}
