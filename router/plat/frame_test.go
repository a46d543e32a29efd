package plat

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"mangolug.org/core/conf"
)

// wholeRules is a rule file of two lines, each of which is a valid file on its own.
const wholeRules = "dataCentre clew in # Orla\ndataCentre bay in # Orla\n"

// firstLine is the length of its first line.
const firstLine = len("dataCentre clew in # Orla\n")

// answerAndClose returns a client of a server that sends the bytes to each request and then closes the connection in order, as the
// kernel does for a process that was killed.
func answerAndClose(t *testing.T, answer func() string) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte(answer()))
			}
			_ = c.Close()
		}
	}()
	return &Client{Base: "http://" + l.Addr().String(), HTTP: &http.Client{Transport: &http.Transport{}, Timeout: deadline}}
}

// TestUnprovenEndOfRules guards against a rule file that lost its last lines with the connection and is taken for a smaller one.
func TestUnprovenEndOfRules(t *testing.T) {
	var packed bytes.Buffer
	z := gzip.NewWriter(&packed)
	_, _ = z.Write([]byte(wholeRules))
	if err := z.Close(); err != nil {
		t.Fatal(err)
	}
	half := wholeRules[:firstLine]
	tests := map[string]struct {
		header, body string
		whole        bool
	}{
		"neither length nor chunks": {"", half, false},
		"HTTP 1.0":                  {"Connection: close\r\n", half, false},
		"length, cut":               {fmt.Sprintf("Content-Length: %d\r\n", len(wholeRules)), half, false},
		"length, whole":             {fmt.Sprintf("Content-Length: %d\r\n", len(wholeRules)), wholeRules, true},
		"chunks, cut":               {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(half), half), false},
		"chunks, whole":             {"Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(wholeRules), wholeRules), true},
		"compressed, cut":           {"Content-Encoding: gzip\r\n", packed.String()[:packed.Len()-9], false},
		"compressed, whole":         {"Content-Encoding: gzip\r\n", packed.String(), true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			protocol := "HTTP/1.1"
			if name == "HTTP 1.0" {
				protocol = "HTTP/1.0"
			}
			client := answerAndClose(t, func() string {
				return protocol + " 200 OK\r\nConfig-Version: 7\r\n" + tt.header + "\r\n" + tt.body
			})
			_, got, changed, err := client.Rules(t.Context(), 0, 0)
			if changed != tt.whole || (err == nil) != tt.whole || tt.whole && string(got) != wholeRules {
				t.Errorf("changed %v, %q, error %v; want changed %v", changed, got, err, tt.whole)
			}
		})
	}
}

// TestCutRulesDoNotSpoilTheirVersion guards against a cut rule file that is put in force or remembered as refused, so that the whole
// file of the same version is no longer accepted.
func TestCutRulesDoNotSpoilTheirVersion(t *testing.T) {
	for name, cut := range map[string]int{"between lines": firstLine, "in a line": len("dataCentre")} {
		t.Run(name, func(t *testing.T) {
			asked := 0
			client := answerAndClose(t, func() string {
				asked++
				if asked == 1 {
					return "HTTP/1.1 200 OK\r\nConfig-Version: 7\r\n\r\n" + wholeRules[:cut]
				}
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nConfig-Version: 7\r\nContent-Length: %d\r\n\r\n%s", len(wholeRules), wholeRules)
			})
			var k conf.Keeper
			for range 2 {
				if version, got, changed, _ := client.Rules(t.Context(), k.Newest(), time.Millisecond); changed {
					k.Offer(0, version, got, "")
				}
			}
			if current := k.Current(); current == nil || string(current.Text) != wholeRules {
				t.Errorf("version %d in force, refused %v, want the whole text of 7", k.Version(), k.Counts)
			}
		})
	}
}

// TestCutList guards against a list of VMs that lost its end, or that another answer follows, and is taken for a whole one.
func TestCutList(t *testing.T) {
	const list = `{"vms":[{"name":"r1","state":"live"},{"name":"r2","state":"live"}]}`
	for name, tt := range map[string]struct {
		body  string
		whole bool
	}{
		"whole": {list, true}, "in a VM": {list[:20], false}, "between VMs": {list[:strings.Index(list, "},")+1], false},
		"before its last bracket": {list[:len(list)-1], false}, "a second answer": {list + list, false}, "nothing": {"", false},
	} {
		t.Run(name, func(t *testing.T) {
			client := answerAndClose(t, func() string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(tt.body), tt.body)
			})
			if vms, err := client.VMs(t.Context()); (err == nil) != tt.whole {
				t.Errorf("%d VMs, error %v", len(vms), err)
			}
		})
	}
}
