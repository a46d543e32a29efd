package story

import (
	"errors"
	"io"
	"io/fs"
	"strings"
	"testing"

	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

// logs are the logs of two routers as a log collector writes them: with a prefix before each line, and with one malformed line.
var logs = map[string]string{
	"one": `17.281 one time=2026-12-04T07:00:17.281Z level=info msg=sent router=one request=a team=t server=i-1 unread=318 send=1
17.328 one time=2026-12-04T07:00:17.328Z level=info msg=began router=one request=a server=i-1 after=46ms
17.400 one time=2026-12-04T07:00:17.400Z level=info msg=sent router=one request=b server=i-2 send=1
23.009 one time=2026-12-04T07:00:23.009Z level=info msg=failed router=one request=a server=i-1 reason=streamBroken detail="broke inside event 54: unexpected EOF"
23.010 one time=2026-12-04T07:00:23.010Z level=info msg=server router=one server=i-1 is=aside detail=24s
23.010 one time=2026-12-04T07:00:23.010Z level=info msg=server router=one server=i-9 is=aside detail=24s
23.011 one time=2026-12-04T07:00:23.011Z level=info msg=sent router=one request=a server=i-2 send=2
23.500 one time=2026-12-04T07:00:23.500Z level=info msg=answered router=one request=a server=i-2 status=200
60.000 one time=2026-12-04T07:01:00.000Z level=info msg=server router=one server=i-1 is=gone detail=late
`,
	"two": `time=2026-12-04T07:00:20Z level=warn msg=crowd router=two is=true
time=2026-12-04T07:00:21Z level=info msg=refused router=two request=c reason=tooManyOpen status=503 detail="too many requests open at this router"
time=2026-12-04T07:00:22Z level=info msg=sent router=two request=d server=i-3 send=2
time=2026-12-04T07:00:23Z level=info msg=usage router=two droppedLines=7
time=2026-12-04T07:00:23Z level=info msg=sent router=two request=e server=i-3 send=1
time=2026-12-04T07:00:23Z level=info msg=answered router=two request=e server=i-3 status=200 framing=connection end=connection outOfOrder=2
time=2026-12-04T07:00:24Z level=info msg=retime=2026-12-04T07:00:24Z level=info msg=refused router=two request=c reason=teamShare
`,
}

func open(name string) (io.ReadCloser, error) {
	text, ok := logs[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return io.NopCloser(strings.NewReader(text)), nil
}

// TestStory checks the timelines of requests from the logs of two routers.
func TestStory(t *testing.T) {
	for name, c := range map[string]struct {
		request string
		logs    []string
		code    shell.ExitCode
		want    []string // in this order
		without []string
	}{
		"answered at a second server": {
			request: "a", logs: []string{"two", "one"},
			want: []string{
				"step\t0s\tone\tsent\tteam=t server=i-1", "began", "step\t5.728s\tone\tfailed", "(server)\tserver=i-1 is=aside", "server=i-2 send=2", "answered",
				"gap\t1 lines of any request that are not whole", "end\tanswered with status 200 by server i-2, 6.219s after its first line",
			},
			without: []string{"i-9", "is=gone", "request=b", "crowd"},
		},
		"refused": {
			request: "c", logs: []string{"one", "two"},
			want: []string{"step\t-1s\ttwo\t(crowd)", "step\t0s\ttwo\trefused", "gap\t7 lines that router two dropped", "end\trefused by router two with status 503: the router has as many", "(too many requests open at this router)"},
		},
		"nothing after it was sent": {
			request: "b", logs: []string{"one"},
			want: []string{"gap\thow the attempt at server i-2 ended", "end\tno line tells how it ended; the last is sent"},
		},
		"an attempt is missing": {
			request: "d", logs: []string{"two"},
			want: []string{"gap\tthe lines of 1 attempts before this one to server i-3"},
		},
		"an end that may be a cut": {
			request: "e", logs: []string{"two"},
			want: []string{"framing=connection", "doubt\tonly the end of the connection shows that the answer of server i-3 is whole", "doubt\t2 events of server i-3 have ids that do not rise"},
		},
		"unknown request":    {request: "x", logs: []string{"one", "two"}, code: shell.ExitNotFound},
		"a log that is gone": {request: "a", logs: []string{"three"}, code: shell.ExitFailure},
	} {
		t.Run(name, func(t *testing.T) {
			s, out, _ := stream.Test()
			command := NewCommand(&shell.Factory{Streams: s, Open: open})
			o := command.Action.(*Options)
			o.Args.Request, o.Args.Logs, o.Around = c.request, c.logs, 2e9
			err := o.Execute(nil)
			if got := shell.CodeOf(err); got != c.code {
				t.Fatalf("exit code %d (%v), want %d", got, err, c.code)
			}
			if name == "a log that is gone" && !errors.Is(err, fs.ErrNotExist) {
				t.Errorf("error %v does not report that the log is missing", err)
			}
			text := out.String()
			for _, want := range c.want {
				_, rest, found := strings.Cut(text, want)
				if !found {
					t.Fatalf("no %q in the rest of the output:\n%s\nfull output:\n%s", want, text, out)
				}
				text = rest
			}
			for _, word := range c.without {
				if strings.Contains(out.String(), word) {
					t.Errorf("unexpected %q in the output:\n%s", word, out)
				}
			}
		})
	}
}

// TestStoryAsJSON checks the JSON form of a timeline.
func TestStoryAsJSON(t *testing.T) {
	s, out, _ := stream.Test()
	o := NewCommand(&shell.Factory{Streams: s, Open: open}).Action.(*Options)
	o.Args.Request, o.Args.Logs, o.JSON = "c", []string{"two"}, true
	if err := o.Execute(nil); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{`"request": "c"`, `"own": true`, `"what": "refused"`, `"key": "reason"`, `"gaps": [`} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out)
		}
	}
}
