package head

import (
	"errors"
	"strings"
	"testing"
)

// TestScanner guards against an answer of a server in trouble that passes as one (MIXED), and against a sound head that is refused.
func TestScanner(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for name, d := range map[string]struct {
		head string
		want string // what is wrong; empty if the head is sound
	}{
		"sound":                      {ok + "Content-Length: 4\r\n\r\n", ""},
		"no fields":                  {ok + "\r\n", ""},
		"no reason":                  {"HTTP/1.1 204\r\n\r\n", ""},
		"an empty reason":            {"HTTP/1.0 599 \r\n\r\n", ""},
		"a long reason":              {"HTTP/1.1 500 " + strings.Repeat("very ", 99) + "bad\r\n\r\n", ""},
		"line feeds alone":           {"HTTP/1.1 200 OK\nA: b\n\n", ""},
		"all bytes of names":         {ok + "!#$%&'*+-.^_`|~09azAZ: x\r\n\r\n", ""},
		"an empty value":             {ok + "A:\r\nB: \r\n\r\n", ""},
		"odd values":                 {ok + "A: b:c \t\x80\xff;\"\r\n\r\n", ""},
		"interim answers":            {"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n" + ok + "A: b\r\n\r\n", ""},
		"a switch of protocols":      {"HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n\x00\x01", ""},
		"a body that looks like one": {ok + "\r\n bad name: x\r\nHTTP/1.1 000\r\n\r\n", ""},
		"chunks":                     {ok + "Transfer-Encoding: chunked\r\n\r\n", ""},
		"a long name":                {ok + strings.Repeat("a", 500) + ": x\r\n\r\n", ""},

		"status 000":                 {"HTTP/1.1 000 \r\n\r\n", "no status from 100 to 599"},
		"status 099":                 {"HTTP/1.1 099 x\r\n\r\n", "no status from 100 to 599"},
		"status 600":                 {"HTTP/1.1 600 x\r\n\r\n", "no status from 100 to 599"},
		"a sign":                     {"HTTP/1.1 +20 x\r\n\r\n", "no status from 100 to 599"},
		"two digits":                 {"HTTP/1.1 20 x\r\n\r\n", "no status from 100 to 599"},
		"four digits":                {"HTTP/1.1 2000 x\r\n\r\n", "no status from 100 to 599"},
		"no status":                  {"HTTP/1.1\r\n\r\n", "no status from 100 to 599"},
		"two blanks":                 {"HTTP/1.1  200 OK\r\n\r\n", "no status from 100 to 599"},
		"another version":            {"HTTP/2.0 200 OK\r\n\r\n", "no version of HTTP/1"},
		"an empty line":              {"\r\n" + ok + "\r\n", "no version of HTTP/1"},
		"a second head":              {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 x\r\n\r\n", "no status from 100 to 599"},
		"a blank before the colon":   {ok + "Content-Length : 4\r\n\r\n", "the name of a field"},
		"a blank in a name":          {ok + "Transfer Encoding: chunked\r\n\r\n", "the name of a field"},
		"a tab in a name":            {ok + "A\tb: c\r\n\r\n", "the name of a field"},
		"a control byte in a name":   {ok + "A\x01b: c\r\n\r\n", "the name of a field"},
		"a zero byte in a name":      {ok + "A\x00: c\r\n\r\n", "the name of a field"},
		"a carriage return in it":    {ok + "A\rb: c\r\n\r\n", "the name of a field"},
		"a delete byte in a name":    {ok + "A\x7f: c\r\n\r\n", "the name of a field"},
		"a letter beyond ASCII":      {ok + "\xc3\xa4: c\r\n\r\n", "the name of a field"},
		"no name":                    {ok + ": c\r\n\r\n", "the name of a field"},
		"no colon":                   {ok + "Content-Length\r\n\r\n", "the name of a field"},
		"a blank at the begin":       {ok + "A: b\r\n Content-Length: 4\r\n\r\n", "a line that continues another"},
		"a tab at the begin":         {ok + "A: b\r\n\tc\r\n\r\n", "a line that continues another"},
		"a return without its feed":  {ok + "\rA: b\r\n\r\n", "the name of a field"},
		"a colon after a return":     {ok + "\r: b\r\n\r\n", "the name of a field"},
		"a name of an interim head":  {"HTTP/1.1 103 Hints\r\nLi nk: x\r\n\r\n" + ok + "\r\n", "the name of a field"},
		"an encoding in HTTP/1.0":    {"HTTP/1.0 200 OK\r\ntransfer-Encoding: chunked\r\n\r\n", "a transfer encoding in HTTP/1.0"},
		"a name after a long status": {"HTTP/1.1 200 " + strings.Repeat("x", 99) + "\r\nA b: c\r\n\r\n", "the name of a field"},
	} {
		t.Run(name, func(t *testing.T) {
			for step := 1; step <= len(d.head); step += 1 + step {
				var s Scanner
				var err error
				for rest := d.head; rest != "" && err == nil; rest = rest[min(step, len(rest)):] {
					err = s.Scan([]byte(rest[:min(step, len(rest))]))
				}
				var odd *Error
				switch {
				case errors.As(err, &odd) && odd.What != d.want, err != nil && d.want == "":
					t.Errorf("in steps of %d: %v, want %q", step, err, d.want)
				case err == nil && (d.want != "" || !s.Done()):
					t.Errorf("in steps of %d: done %t, want %q", step, s.Done(), d.want)
				}
			}
		})
	}
}

// TestCheckParsed guards against a status or a name that a parser has kept and that no answer has (MIXED).
func TestCheckParsed(t *testing.T) {
	sound := map[string][]string{"Content-Length": {"4"}}
	for name, d := range map[string]struct {
		status int
		fields map[string][]string
		sound  bool
	}{
		"sound":                    {200, sound, true},
		"no fields":                {599, nil, true},
		"status 0":                 {0, sound, false},
		"status 99":                {99, sound, false},
		"status 600":               {600, sound, false},
		"a blank before the colon": {200, map[string][]string{"Content-Length ": {"4"}}, false},
		"a blank in a name":        {200, map[string][]string{"Transfer Encoding": {"chunked"}}, false},
		"no name":                  {200, map[string][]string{"": {"x"}}, false},
	} {
		t.Run(name, func(t *testing.T) {
			if err := CheckParsed(d.status, d.fields); (err == nil) != d.sound {
				t.Errorf("error %v, want a sound head: %t", err, d.sound)
			}
		})
	}
}
