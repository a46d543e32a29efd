package shell

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"

	"mangolug.org/core/rule"
	"mangolug.org/mangoctl/stream"
)

// requestTimeout bounds one question to one router.
const requestTimeout = 3 * time.Second

// OpenFunction opens a file by its name, and standard input for -.
type OpenFunction func(name string) (io.ReadCloser, error)

// Factory gives commands their dependencies; tests replace its fields.
type Factory struct {
	Streams  *stream.Streams
	HTTP     *http.Client
	ReadFile func(name string) ([]byte, error)
	Open     OpenFunction
	Parse    func(text []byte) (*rule.File, error)
	Diff     func(from, to *rule.File) []rule.Change
}

// New gives the factory of the real program.
func New(s *stream.Streams) *Factory {
	return &Factory{
		Streams:  s,
		HTTP:     &http.Client{Timeout: requestTimeout},
		ReadFile: os.ReadFile,
		Open:     open,
		Parse:    rule.Parse,
		Diff:     rule.Diff,
	}
}

func open(name string) (io.ReadCloser, error) {
	if name == "-" {
		return io.NopCloser(os.Stdin), nil
	}
	return os.Open(name)
}

// Command is one command of the program.
type Command struct {
	Name     string
	Short    string
	Long     string
	Examples string
	Action   flags.Commander
}
