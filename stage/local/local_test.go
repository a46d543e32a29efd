package local

import (
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/pkg/errors"
)

func TestRules(t *testing.T) {
	site := Site{
		DataCentres: []string{"lahore", "multan"}, Model: "stain-llm", Plain: "swatch-desk", Once: "/dispatches",
		Teams: []Team{{Name: "carpenters", Share: 40}}, AskedBy: "the stain desk",
	}
	servers := []Server{{Name: "stain-1", Product: "stain-llm", DataCentre: "lahore", Address: "127.0.0.1:9001", Limit: 8, Fencing: true}}
	want := []string{
		"dataCentre lahore in # asked by the stain desk",
		"dataCentre multan out # asked by the stain desk",
		"product stain-llm model # asked by the stain desk",
		"product swatch-desk plain once POST /dispatches # asked by the stain desk",
		"server stain-1 product stain-llm dataCentre lahore address 127.0.0.1:9001 limit 8 fencing # asked by the stain desk",
		"team carpenters share 40 key sha256:e37aeee95fb6de36ad2d04587f806e8c6d6ec1815527e790044a0954be8f92c2 # asked by the stain desk",
	}
	got := strings.Split(strings.TrimSpace(site.Rules(servers, "multan")), "\n")
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestProcess(t *testing.T) {
	sleep, err := exec.LookPath("sleep")
	if err != nil {
		t.Fatal(err)
	}
	p := &Process{Name: "sleep", Path: sleep, Args: []string{"60"}, Log: filepath.Join(t.TempDir(), "log")}
	for name, step := range map[string]func() error{"kill": p.Kill, "freeze": p.Freeze} {
		if err := step(); err == nil {
			t.Errorf("%s of a process that does not run gave no error", name)
		}
	}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	if err := p.Start(); err == nil {
		t.Error("a second start gave no error")
	}
	for _, step := range []func() error{p.Freeze, p.Continue, p.Restart, p.Freeze, p.Kill, p.Start} {
		if err := step(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := p.Stop(5 * time.Second); err != nil || p.Running() {
		t.Errorf("stop: %v, running %v", err, p.Running())
	}
}

// TestProcessEnvironment guards against a process that lacks its variables, or has them in place of the inherited ones.
func TestProcessEnvironment(t *testing.T) {
	env, err := exec.LookPath("env")
	if err != nil {
		t.Fatal(err)
	}
	t.Setenv("DRILL_INHERITED", "kept")
	p := &Process{Name: "env", Path: env, Env: []string{"DRILL_OWN=set"}, Log: filepath.Join(t.TempDir(), "log")}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	err = Until(5*time.Second, func() error {
		text, err := os.ReadFile(p.Log)
		if err != nil {
			return err
		}
		for _, want := range []string{"DRILL_INHERITED=kept", "DRILL_OWN=set"} {
			if !slices.Contains(strings.Split(string(text), "\n"), want) {
				return errors.Errorf("%s is not in the environment", want)
			}
		}
		return nil
	})
	if err != nil {
		t.Error(err)
	}
}
