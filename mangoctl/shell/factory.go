package shell

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"mangolug.org/core/head"
	"mangolug.org/core/rule"
	"mangolug.org/mangoctl/stream"
)

// requestTimeout limits one HTTP request to one router.
const requestTimeout = 3 * time.Second

// OpenFunc opens a file by its name, or standard input if the name is "-".
type OpenFunc func(name string) (io.ReadCloser, error)

// Factory provides the dependencies of commands. Tests replace its fields.
type Factory struct {
	Streams  *stream.Streams
	HTTP     *http.Client
	ReadFile func(name string) ([]byte, error)
	Open     OpenFunc
	Parse    func(text []byte) (*rule.File, error)
	Diff     func(from, to *rule.File) []rule.Change
}

// New returns a factory that uses the file system and the network.
func New(s *stream.Streams) *Factory {
	return &Factory{
		Streams:  s,
		HTTP:     &http.Client{Timeout: requestTimeout, Transport: checkedTransport{}},
		ReadFile: os.ReadFile,
		Open:     open,
		Parse:    rule.Parse,
		Diff:     rule.Diff,
	}
}

// checkedTransport rejects answers whose heads are malformed.
type checkedTransport struct{}

// RoundTrip sends a request.
func (checkedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	answer, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := head.CheckParsed(answer.StatusCode, answer.Header); err != nil {
		_ = answer.Body.Close() // the answer is not used
		return nil, err
	}
	return answer, nil
}

func open(name string) (io.ReadCloser, error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	return os.Open(name)
}

// Command is a subcommand of mangoctl.
type Command struct {
	Name     string
	Short    string
	Long     string
	Examples string
	Action   flags.Commander
}
