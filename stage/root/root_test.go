package root

import (
	"context"
	"strings"
	"testing"

	"mangolug.org/mangoctl/stream"
)

func TestRun(t *testing.T) {
	tests := map[string]struct {
		args []string
		code int
		out  string
		talk string
	}{
		"help":            {args: []string{"--help"}, out: "measure"},
		"help of command": {args: []string{"measure", "--help"}, out: "--runs"},
		"unknown command": {args: []string{"mend"}, code: exitUsage, talk: "mend"},
		"bad value":       {args: []string{"measure", "--user", "nobody"}, code: exitUsage, talk: "nobody"},
		"bad length":      {args: []string{"demo", "--length", "1s"}, code: exitFailure, talk: "--length"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s, out, talk := stream.Test()
			if code := Run(context.Background(), s, c.args); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.out) || !strings.Contains(talk.String(), c.talk) {
				t.Errorf("output %q, talk %q", out, talk)
			}
		})
	}
}
