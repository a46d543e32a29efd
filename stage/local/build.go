package local

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"

	"github.com/pkg/errors"
)

var programs = []string{"router", "bulletin", "engine", "desk"}

// Root gives the folder of the workspace that the working directory is in.
func Root() (string, error) {
	dir, err := os.Getwd()
	if err != nil {
		return "", errors.Wrap(err, "working directory")
	}
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir, nil
		}
		parent := filepath.Dir(dir)
		if parent == dir {
			return "", errors.New("no go.work above the working directory")
		}
		dir = parent
	}
}

// Build builds the fleet's programs into a folder, with more arguments for go build if any.
func Build(ctx context.Context, dir string, args ...string) error {
	root, err := Root()
	if err != nil {
		return err
	}
	build := append([]string{"build", "-o", dir + string(filepath.Separator)}, args...)
	for _, p := range programs {
		build = append(build, "./"+p)
	}
	command := exec.CommandContext(ctx, "go", build...)
	command.Dir = root
	if output, err := command.CombinedOutput(); err != nil {
		return errors.Wrapf(err, "go build: %s", output)
	}
	return nil
}
