package usage

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// ticksPerSecond is the unit of processor time in /proc, fixed by the kernel's interface.
const ticksPerSecond = 100

// Use is what one process has used.
type Use struct {
	Processor time.Duration
	Resident  int64 // bytes
}

// Children gives the use of each child of this process by the value of its flag --name.
func Children() (map[string]Use, error) {
	lists, err := filepath.Glob("/proc/self/task/*/children")
	if err != nil {
		return nil, errors.Wrap(err, "list children")
	}
	uses := make(map[string]Use)
	for _, list := range lists {
		text, err := os.ReadFile(list)
		if err != nil {
			continue // the thread has ended
		}
		for _, id := range strings.Fields(string(text)) {
			name, use, err := read(id)
			if err != nil {
				continue // the process has ended
			}
			uses[name] = use
		}
	}
	return uses, nil
}

func read(id string) (string, Use, error) {
	line, err := os.ReadFile(filepath.Join("/proc", id, "cmdline"))
	if err != nil {
		return "", Use{}, err
	}
	stat, err := os.ReadFile(filepath.Join("/proc", id, "stat"))
	if err != nil {
		return "", Use{}, err
	}
	use, err := parse(string(stat))
	return nameIn(line), use, err
}

// nameIn finds the value of --name among a process's arguments.
func nameIn(line []byte) string {
	words := bytes.Split(line, []byte{0})
	for i, w := range words[:len(words)-1] {
		if string(w) == "--name" {
			return string(words[i+1])
		}
	}
	return string(words[0])
}

// parse reads a line of /proc/PID/stat: utime, stime and rss are fields 14, 15 and 24.
func parse(stat string) (Use, error) {
	const afterName = 2 // fields before the state, the third
	_, rest, ok := strings.Cut(stat, ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 24-afterName {
		return Use{}, errors.New("unknown form of stat")
	}
	var values [3]int64
	for i, field := range []int{14, 15, 24} {
		v, err := strconv.ParseInt(fields[field-afterName-1], 10, 64)
		if err != nil {
			return Use{}, errors.Wrap(err, "read stat")
		}
		values[i] = v
	}
	return Use{
		Processor: time.Duration(values[0]+values[1]) * time.Second / ticksPerSecond,
		Resident:  values[2] * int64(os.Getpagesize()),
	}, nil
}

// String gives the use on one line.
func (u Use) String() string {
	return fmt.Sprintf("%v processor, %d bytes resident", u.Processor, u.Resident)
}
