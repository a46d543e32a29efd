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

// maxLineBytes is the longest log line accepted; routers write shorter ones.
const maxLineBytes = 1 << 20

// Field is one key-value pair of a log line.
type Field struct {
	Key   string `json:"key"`
	Value string `json:"value"`
}

// Line is a parsed line of a router's log.
type Line struct {
	Time    time.Time `json:"at"`
	Router  string    `json:"router"`
	Message string    `json:"what"`
	Fields  []Field   `json:"fields"` // the remaining pairs, in the order of the line
}

// Get returns the value of a key, or an empty string if the line lacks it.
func (l *Line) Get(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// ReadLogs calls visit for each valid line of the named logs, or of standard input if names is empty.
// It returns the number of malformed lines. Its error names the log that could not be read.
func ReadLogs(open shell.OpenFunc, names []string, visit func(Line)) (malformed int, err error) {
	if len(names) == 0 {
		names = []string{"-"}
	}
	for _, name := range names {
		n, err := readLog(open, name, visit)
		malformed += n
		if err != nil {
			return malformed, errors.Wrapf(err, "log %s", name)
		}
	}
	return malformed, nil
}

func readLog(open shell.OpenFunc, name string, visit func(Line)) (malformed int, err error) {
	r, err := open(name)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	return Read(r, visit)
}

// Read calls visit for each valid line of a log and returns the number of malformed lines. Lines without a time are skipped.
func Read(r io.Reader, visit func(Line)) (malformed int, err error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	scanner.Split(scanLines)
	for scanner.Scan() {
		text, terminated := bytes.CutSuffix(scanner.Bytes(), []byte("\n"))
		at := bytes.Index(text, []byte("time=")) // log collectors add their own prefix to each line
		if at < 0 {
			continue
		}
		line, ok := parse(text[at:])
		if !ok || !terminated { // the last value of a line without its end may have been cut
			malformed++
			continue
		}
		visit(line)
	}
	return malformed, errors.Wrap(scanner.Err(), "read log")
}

// scanLines is a bufio.SplitFunc for lines with their newline, which only the last may lack.
func scanLines(data []byte, atEOF bool) (advance int, token []byte, err error) {
	if i := bytes.IndexByte(data, '\n'); i >= 0 {
		return i + 1, data[:i+1], nil
	}
	if atEOF && len(data) > 0 {
		return len(data), data, nil
	}
	return 0, nil, nil
}

// parse parses one line. It returns false if the line is truncated or merged with another.
func parse(text []byte) (Line, bool) {
	var l Line
	timestamps := 0
	d := logfmt.NewDecoder(bytes.NewReader(text))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			key, value := string(d.Key()), string(d.Value())
			switch key {
			case "time":
				timestamps++
				at, err := time.Parse(time.RFC3339Nano, value)
				if err != nil {
					return l, false
				}
				l.Time = at
			case "level":
			case "msg":
				l.Message = value
			case "router":
				l.Router = value
			default:
				l.Fields = append(l.Fields, Field{key, value})
			}
		}
	}
	valid := d.Err() == nil && timestamps == 1 && l.Message != "" && l.Router != "" && !strings.Contains(l.Message, "=")
	return l, valid
}
