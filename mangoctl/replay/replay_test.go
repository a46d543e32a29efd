package replay

import (
	"bytes"
	"io"
	"strings"
	"testing"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

func TestReplayRun(t *testing.T) {
	const head = `{"version":1,"start":{"self":"lahore-1","dataCentre":"lahore","incarnation":7}}` + "\n"
	const linked = `{"now":1000000,"wall":5,"events":[{"list":{"vms":[{"name":"lahore-1","router":true}]}}],"effects":[%]}` + "\n"
	cases := map[string]struct {
		trace    string
		code     shell.ExitCode
		contains string
	}{
		"same":      {head + strings.ReplaceAll(linked, "%", `{"links":{"addresses":{}}}`), shell.ExitOK, "1 steps, 1 events, 1 effects: the same outcome"},
		"different": {head + strings.ReplaceAll(linked, "%", ""), shell.ExitDifferent, `replayed {"links":{"addresses":{}}}`},
		"no trace":  {"", shell.ExitFailure, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var out bytes.Buffer
			o := &Options{
				Streams: &stream.Streams{Out: &out, ErrOut: io.Discard},
				Open:    func(string) (io.ReadCloser, error) { return io.NopCloser(strings.NewReader(c.trace)), nil },
			}
			if code := shell.CodeOf(replayRun(o)); code != c.code || !strings.Contains(out.String(), c.contains) {
				t.Errorf("exit code %d, want %d, with\n%s", code, c.code, &out)
			}
		})
	}
}
