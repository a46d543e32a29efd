package root

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"mangolug.org/core/fleet"
	"mangolug.org/core/limit"
	"mangolug.org/core/report"
	"mangolug.org/mangoctl/shell"
	"mangolug.org/mangoctl/stream"
)

const rules = `dataCentre lahore in # asked by ops
product stain-llm model # asked by labs
server stain-1 product stain-llm dataCentre lahore address 127.0.0.1:9001 limit 8 # asked by labs
`

// newRouter starts a fake admin server of a router and returns its address. If peer is not empty, the router lists it as an unreachable peer.
func newRouter(t *testing.T, peer string) string {
	t.Helper()
	mux := http.NewServeMux()
	answer := func(path string, value any) {
		mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(value) })
	}
	status := report.Status{
		Router: "router-1", DataCentre: "lahore", Ready: true, Majority: true, ConfigVersion: 7,
		RefusedNumber: 8, ConfigRefused: "4:24: badNumber",
		DataCentres: []report.DataCentre{{Name: "lahore", InService: true}},
		Cells: []report.Cell{{Cell: "stain-llm/0", Term: 9, Lenders: 2, Listed: 3, Servers: []report.Server{{
			Name: "stain-1", Held: fleet.ReasonServerLeaving, Lowered: limit.CauseRestarted, LoweredFrom: 8, LoweredTo: 1, LoweredMillis: 5999,
		}, {Name: "stain-2", Held: fleet.ReasonHeld}, {Name: "stain-3", Held: fleet.ReasonHeld, Foreign: 7}}}},
	}
	if peer != "" {
		status.Peers = []report.Peer{{Name: "router-2", Admin: peer, Link: "bad certificate"}}
	}
	answer("/status", status)
	answer("/explain/request/42", report.Explanation{Request: "42", Team: "carpenters", Steps: []report.Step{
		{What: "arrived"}, {What: "refused", Reason: fleet.ReasonQueueFull, AtMillis: 3},
	}})
	answer("/explain/team/carpenters", report.TeamExplanation{
		Team: "carpenters", Refusals: map[string]int64{"queueFull": 9},
		Rooms: []report.Room{{Product: "stain-llm", Waiting: 2, Scheduler: "router-1", Why: fleet.ReasonHeld}},
		Cells: []report.Cell{{Cell: "stain-llm/0", Lenders: 1, Listed: 3}},
		Recent: []report.Explanation{
			{Request: "40", Product: "stain-llm", Steps: []report.Step{{What: "refused", Reason: fleet.ReasonQueueFull}}},
			{Request: "41", Product: "stain-llm", Steps: []report.Step{{What: "retried", Reason: fleet.ReasonServerFailed}, {What: "answered"}}},
			{Request: "42", Product: "stain-llm", Steps: []report.Step{{What: "refused", Reason: fleet.ReasonQueueFull, AtMillis: 3}}},
		},
	})
	s := httptest.NewServer(mux)
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func TestRun(t *testing.T) {
	folder := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(folder, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good, bad := write("good", rules), write("bad", rules+"team carpenters share x\n")
	out := write("out", strings.Replace(rules, "lahore in", "lahore out", 1))
	router, partitioned := newRouter(t, ""), newRouter(t, "127.0.0.1:1")
	tests := map[string]struct {
		args   []string
		code   shell.ExitCode
		out    string
		stderr string
	}{
		"fair":              {args: []string{"fair", write("log", "time=2026-12-04T10:00:00Z level=info msg=starting router=one\n")}, stderr: "no team was refused"},
		"fair no window":    {args: []string{"fair", "--window", "0", good}, code: shell.ExitUsage, stderr: "at least one second"},
		"fair no log":       {args: []string{"fair", filepath.Join(folder, "none")}, code: shell.ExitFailure, stderr: "none"},
		"check good":        {args: []string{"check", good}, out: "accepted, 1 data centres"},
		"check bad":         {args: []string{"check", bad}, code: shell.ExitRefused, out: "error\t4\t", stderr: "refused whole"},
		"check JSON":        {args: []string{"check", "--json", bad}, code: shell.ExitRefused, out: `"line": 4`, stderr: "refused whole"},
		"check nothing":     {args: []string{"check"}, code: shell.ExitUsage, stderr: "FILE"},
		"check no file":     {args: []string{"check", good + "x"}, code: shell.ExitFailure, stderr: "no such file"},
		"diff same":         {args: []string{"diff", "--exit-code", good, good}, stderr: "no change"},
		"diff out":          {args: []string{"diff", good, out}, out: "lahore"},
		"diff exit code":    {args: []string{"diff", "--exit-code", good, out}, code: shell.ExitDifferent, out: "lahore"},
		"status":            {args: []string{"status", "--router", router}, out: "router\trouter-1\tlahore\tready\t7"},
		"status server":     {args: []string{"status", "--router", router}, out: "server\tstain-1\tstain-llm/0"},
		"status cell":       {args: []string{"status", "--router", router}, out: "cell\tstain-llm/0\trouter-1\t9\t2/3"},
		"status lowered":    {args: []string{"status", "--router", router}, out: "\tserverLeaving\trestarted 8 to 1, 5s ago"},
		"status no part":    {args: []string{"status", "--router", router}, out: "server\tstain-2\tstain-llm/0\t\trouter-1\t0\t0\t0\t0\t0\tnoPart"},
		"status foreign":    {args: []string{"status", "--router", router}, out: "server\tstain-3\tstain-llm/0\t\trouter-1\t0\t7\t0\t0\t0\tforeign"},
		"status refused":    {args: []string{"status", "--router", router}, out: "router\trouter-1", stderr: "configuration 8 was refused by 1 of 1 routers:\n4:24: badNumber"},
		"status link":       {args: []string{"status", "--router", partitioned}, out: "peer\trouter-1\trouter-2\t\tlost\t0s\t0\tbad certificate"},
		"status JSON":       {args: []string{"status", "--json", "--router", router}, out: `"configVersion": 7`},
		"status partial":    {args: []string{"status", "--all", "--router", partitioned}, code: shell.ExitPartial, out: "router-1", stderr: "1 of 2 routers"},
		"status none":       {args: []string{"status", "--router", "127.0.0.1:1"}, code: shell.ExitUnreachable, stderr: "none of 1"},
		"status no router":  {args: []string{"status"}, code: shell.ExitUsage, stderr: "--router"},
		"explain request":   {args: []string{"explain", "request", "42", "--router", router}, out: "as many requests of this team wait"},
		"explain unknown":   {args: []string{"explain", "request", "43", "--router", router}, code: shell.ExitNotFound, stderr: "no router"},
		"explain team":      {args: []string{"explain", "team", "carpenters", "--router", router}, out: "refusal\tqueueFull\t9"},
		"explain latest":    {args: []string{"explain", "team", "carpenters", "--router", router}, out: "recent\tstain-llm\tqueueFull\trefused\t2\t40\trouter-1\trefused after 0s"},
		"explain retried":   {args: []string{"explain", "team", "carpenters", "--router", router}, out: "recent\tstain-llm\tserverFailed\tanswered\t1\t41\trouter-1\tanswered after 0s"},
		"explain split":     {args: []string{"explain", "team", "carpenters", "--router", router}, out: "further behind their share; its scheduler uses only the part of each limit that 1 of 3 routers lend it"},
		"explain what":      {args: []string{"explain", "router", "1", "--router", router}, code: shell.ExitUsage, stderr: "neither request nor team"},
		"completion":        {args: []string{"completion", "bash"}, out: "GO_FLAGS_COMPLETION"},
		"completion of csh": {args: []string{"completion", "csh"}, code: shell.ExitUsage, stderr: "bash, zsh or fish"},
		"help":              {args: []string{"help"}, out: "Exit codes:"},
		"help check":        {args: []string{"help", "check"}, out: "Examples:"},
		"flag help":         {args: []string{"explain", "--help"}, out: "Examples:"},
		"unknown command":   {args: []string{"mend"}, code: shell.ExitUsage, stderr: "mend"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Setenv("MANGOLUG_ROUTER", "")
			s, out, stderr := stream.Test()
			if code := Run(shell.New(s), c.args); code != c.code {
				t.Errorf("exit code %d, want %d", code, c.code)
			}
			if !strings.Contains(out.String(), c.out) {
				t.Errorf("output lacks %q:\n%s", c.out, out)
			}
			if !strings.Contains(stderr.String(), c.stderr) {
				t.Errorf("stderr lacks %q:\n%s", c.stderr, stderr)
			}
		})
	}
}

// newCutRouter starts a fake admin server of a router whose explanations are cut with their connection.
func newCutRouter(t *testing.T) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/status" {
			_ = json.NewEncoder(w).Encode(report.Status{Router: "router-9", DataCentre: "lahore"})
			return
		}
		_, _ = w.Write([]byte(`{"request":"42","team":"c`))
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

// TestCutExplanation guards against a router whose answer was cut that counts as one that does not know the request or team.
func TestCutExplanation(t *testing.T) {
	whole, broken := newRouter(t, ""), newCutRouter(t)
	for name, tt := range map[string]struct {
		args   []string
		code   shell.ExitCode
		stderr string
	}{
		"request, only router":     {[]string{"request", "42", "--router", broken}, shell.ExitUnreachable, "none of 1 routers answered"},
		"team, only router":        {[]string{"team", "carpenters", "--router", broken}, shell.ExitUnreachable, "none of 1 routers answered"},
		"request, another knows":   {[]string{"request", "42", "--router", broken, "--router", whole}, shell.ExitPartial, "1 of 2 routers did not answer"},
		"team, another knows":      {[]string{"team", "carpenters", "--router", broken, "--router", whole}, shell.ExitPartial, "1 of 2 routers did not answer"},
		"request, no router knows": {[]string{"request", "43", "--router", broken, "--router", whole}, shell.ExitNotFound, "(1 of 2 routers did not answer)"},
	} {
		t.Run(name, func(t *testing.T) {
			s, _, stderr := stream.Test()
			if code := Run(shell.New(s), append([]string{"explain"}, tt.args...)); code != tt.code {
				t.Errorf("exit code %d, want %d", code, tt.code)
			}
			if !strings.Contains(stderr.String(), tt.stderr) {
				t.Errorf("stderr lacks %q:\n%s", tt.stderr, stderr)
			}
		})
	}
}

func TestTerminalTable(t *testing.T) {
	s, out, _ := stream.Test()
	s.Terminal = true
	if code := Run(shell.New(s), []string{"status", "--router", newRouter(t, "")}); code != shell.ExitOK {
		t.Fatalf("exit code %d", code)
	}
	for _, want := range []string{"ROUTER", "BACKEND SERVER", "serverLeaving"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("output lacks %q:\n%s", want, out)
		}
	}
}
