package fair

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"strings"
	"testing"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/story"
	"mangolug.org/mangoctl/stream"
)

// line returns a router's log line at a second of 10:00.
func line(router string, second int, text string) string {
	return fmt.Sprintf("time=2026-12-04T10:00:%02d.5Z level=info router=%s %s\n", second, router, text)
}

// requestLines returns the log lines of a request of 1,000 tokens that is sent at once and, if begins is set, begins to run.
func requestLines(router string, second int, team, id string, begins bool) string {
	text := line(router, second, "msg=sent request="+id+" team="+team+" server=s prompt=900 output=50 send=1")
	if begins {
		text += line(router, second, "msg=began request="+id+" server=s")
	}
	return text
}

// logs returns the logs of two routers. Each second, four requests of team big begin to run, one of the five of team small, and the single one of team idle.
func logs() map[string]string {
	var one, two strings.Builder
	for s := range 8 {
		for i := range 4 {
			one.WriteString(requestLines("one", s, "big", fmt.Sprint("b", s, i), true))
		}
		one.WriteString(line("one", s, "msg=refused request=x"+fmt.Sprint(s)+" reason=teamShare team=big"))
		two.WriteString(requestLines("two", s, "small", fmt.Sprint("s", s), true))
		two.WriteString(requestLines("two", s, "idle", fmt.Sprint("i", s), true))
		two.WriteString(line("two", s, `msg="turned away" requests=4 teams=2 most=small ofThat=3`))
		two.WriteString(line("two", s, `msg="over share" requests=2 teams=2 most=small ofThat=1`))
	}
	two.WriteString(requestLines("two", 3, "small", "never", false))
	two.WriteString("time=2026-12-04T10:00:03Z level=info msg=se\n")
	return map[string]string{"one": one.String(), "two": two.String()}
}

func TestFair(t *testing.T) {
	texts := logs()
	open := func(name string) (io.ReadCloser, error) {
		text, ok := texts[name]
		if !ok {
			return nil, fs.ErrNotExist
		}
		return io.NopCloser(strings.NewReader(text)), nil
	}
	tests := map[string]struct {
		options Options
		logs    []string
		out     string
		stderr  string
		code    shell.ExitCode
	}{
		// Over the window, small requests 31,000 tokens, 6,000 of which begin to run; 24,000 of big do.
		"a team that gets a quarter": {
			Options{Window: 6, Most: 1}, []string{"one", "two"}, "span\t10:00:00\tsmall\t31000\t6000\tbig\t24000\t0.25\n", "1 lines could not be read\n", 0,
		},
		"JSON":                  {Options{Window: 6, Most: 1, JSON: true}, []string{"one", "two"}, `"part": 0.25`, "", 0},
		"nobody wants more":     {Options{Window: 9, Most: 1}, []string{"one", "two"}, "", "no team was refused requests in each of 9 seconds", 0},
		"one router's log":      {Options{Window: 6, Most: 1}, []string{"one"}, "", "no team", 0},
		"a log that is missing": {Options{Window: 6}, []string{"three"}, "", "", shell.ExitFailure},
		"no second":             {Options{}, []string{"one"}, "", "", shell.ExitUsage},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			var out, stderr bytes.Buffer
			o := test.options
			o.Streams, o.Open, o.Args.Logs = &stream.Streams{Out: &out, ErrOut: &stderr}, open, test.logs
			err := o.Execute(nil)
			if code := shell.CodeOf(err); code != test.code {
				t.Fatalf("exit code %d (%v), want %d", code, err, test.code)
			}
			if name == "a log that is missing" && !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("error %v does not name the cause", err)
			}
			if !strings.Contains(out.String(), test.out) || !strings.Contains(stderr.String(), test.stderr) {
				t.Errorf("stdout %q and stderr %q, want %q and %q", out.String(), stderr.String(), test.out, test.stderr)
			}
		})
	}
}

// FuzzLogs checks that no log, valid or not, makes the command panic.
func FuzzLogs(f *testing.F) {
	for _, text := range logs() {
		f.Add(text)
	}
	f.Add(line("one", 1, `msg="turned away" most=a ofThat=9223372036854775807`) + line("one", 1, "msg=sent request=x team=a prompt=9223372036854775807 output=1 send=1"))
	f.Fuzz(func(t *testing.T, text string) {
		var tally tally
		if _, err := story.Read(strings.NewReader(text), tally.add); err != nil {
			return // a line longer than the scanner accepts
		}
		for _, s := range tally.spans(2) {
			if s.Team == "" || s.Best == "" {
				t.Errorf("span without its teams: %+v", s)
			}
		}
	})
}
