package story

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"

	"mangolug.org/mangoctl/shell"
)

// lineBytes bounds one log line; routers write shorter ones.
const lineBytes = 1 << 20

// Field is one key with its value.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is one line of a router's log.
type Line struct {
	At     time.Time `json:"at"`
	Router string    `json:"router"`
	What   string    `json:"what"`
	Fields []Field   `json:"fields"` // the others, in the order of the line
}

// Get gives the value of a key, and an empty text if the line lacks it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// ReadLogs calls take with each line of some logs, of standard input if none is named, and gives how many lines could not be understood; its error names
// the log.
func ReadLogs(open shell.OpenFunction, names []string, take func(Line)) (torn int, err error) {
	if len(names) == 0 {
		names = []string{"-"}
	}
	for _, name := range names {
		n, err := readLog(open, name, take)
		torn += n
		if err != nil {
			return torn, errors.Wrapf(err, "log %s", name)
		}
	}
	return torn, nil
}

func readLog(open shell.OpenFunction, name string, take func(Line)) (torn int, err error) {
	r, err := open(name)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	return Read(r, take)
}

// Read calls take with each line of a log that can be understood, and gives how many could not be.
func Read(r io.Reader, take func(Line)) (torn int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, lineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		at := bytes.Index(text, []byte("time=")) // collectors put words of their own before it
		if at < 0 {
			continue
		}
		line, ok := parse(text[at:])
		if !ok {
			torn++
			continue
		}
		take(line)
	}
	return torn, errors.Wrap(scanner.Err(), "read log")
}

// parse reads one line; false if it is not whole.
func parse(text []byte) (Line, bool) {
	var l Line
	timed := 0
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "time":
				timed++
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.At = at
			case "level":
			case "msg":
				l.What = value
			case "router":
				l.Router = value
			default:
				l.Fields = append(l.Fields, Field{key, value})
			}
		}
	}
	whole := d.Err() == nil && timed == 1 && l.What != "" && l.Router != "" && !strings.Contains(l.What, "=")
	return l, whole
}
