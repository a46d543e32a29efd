package fault

import (
	"bytes"
	"errors"
	"io"
	"net"
	"time"
)

// pump forwards one direction of a connection.
type pump struct {
	proxy   *Proxy
	conn    *conn
	from    *net.TCPConn
	to      *net.TCPConn
	answers bool
	rule    *active // that passed and tail count for
	passed  int64   // bytes since the rule came into force
	found   int     // occurrences of ResetAt since then
	left    int     // bytes to pass before the reset, once ResetAt was found
	tail    []byte  // held back, as it may be the start of ResetAt
}

func (u *pump) run() {
	queue := make(chan piece, queueSize)
	go u.read(queue)
	for {
		select {
		case item := <-queue:
			if !u.pass(item) {
				return
			}
		case <-u.conn.ended:
			return
		}
	}
}

// read queues what arrives, and a piece without data at the end.
func (u *pump) read(queue chan<- piece) {
	for {
		buffer := make([]byte, pieceBytes)
		n, err := u.from.Read(buffer)
		rule, _, _ := u.proxy.look(u.conn)
		due := time.Now().Add(rule.delay())
		if n > 0 && !u.put(queue, piece{data: buffer[:n], due: due}) {
			return
		}
		if err != nil {
			u.put(queue, piece{reset: !errors.Is(err, io.EOF), due: due})
			return
		}
	}
}

func (u *pump) put(queue chan<- piece, item piece) bool {
	select {
	case queue <- item:
		return true
	case <-u.conn.ended:
		return false
	}
}

// pass forwards one piece as the rule says, and says whether the direction goes on.
func (u *pump) pass(item piece) bool {
	if !u.sleep(time.Until(item.due)) {
		return false
	}
	rule, ok := u.hold()
	if !ok {
		return false
	}
	if rule != u.rule {
		u.rule, u.passed, u.found, u.left = rule, 0, 0, 0
	}
	if item.data == nil {
		return u.close(rule, item.reset)
	}
	data := item.data
	if u.answers && rule.Swap {
		data, ok = u.swap(rule, data)
		if !ok {
			return false
		}
	}
	data, fires := u.cut(rule, data)
	if !u.write(rule, data) {
		return false
	}
	if u.answers && rule.Duplicate && !u.write(rule, data) {
		return false
	}
	if fires {
		u.proxy.fire(u.conn, rule)
	}
	return !fires
}

// hold waits while the direction is held, for ever when the connection is dead, and gives the rule then.
func (u *pump) hold() (*active, bool) {
	for {
		rule, dead, changed := u.proxy.look(u.conn)
		held := rule.HoldRequests
		if u.answers {
			held = rule.HoldAnswers
		}
		if !held && !dead {
			return rule, true
		}
		select {
		case <-changed:
		case <-u.conn.ended:
			return nil, false
		}
	}
}

// close ends the direction as it ended at its source, and the connection when it was reset or was the answers' one.
func (u *pump) close(rule *active, reset bool) bool {
	if len(u.tail) > 0 {
		data := u.tail
		u.tail = nil
		if !u.write(rule, data) {
			return false
		}
	}
	switch {
	case reset:
		u.proxy.forwardReset(u.conn)
	case u.answers:
		u.proxy.finish(u.conn)
	default:
		_ = u.to.CloseWrite()
	}
	return false
}

// cut gives the bytes that pass, and whether the rule fires after them.
func (u *pump) cut(rule *active, data []byte) ([]byte, bool) {
	limit := rule.ResetRequests
	if u.answers {
		limit = rule.ResetAnswers
	}
	if limit > 0 && u.passed+int64(len(data)) >= limit {
		data = data[:limit-u.passed]
		u.passed = limit
		return data, true
	}
	u.passed += int64(len(data))
	if u.answers && (rule.ResetAt != "" || len(u.tail) > 0) {
		return u.cutAt(rule, data)
	}
	return data, false
}

// cutAt looks for the rule's text across pieces; bytes at the end that may be
// the start of the text are held back.
func (u *pump) cutAt(rule *active, data []byte) ([]byte, bool) {
	data = append(u.tail, data...)
	u.tail = nil
	if rule.ResetAt == "" {
		return data, false
	}
	if u.left > 0 {
		return u.countDown(data)
	}
	text := []byte(rule.ResetAt)
	rest := data
	for {
		at := bytes.Index(rest, text)
		if at < 0 {
			break
		}
		rest = rest[at+len(text):]
		if u.found < rule.ResetSkip {
			u.found++
			continue
		}
		end := len(data) - len(rest) - len(text) + rule.ResetOffset
		if end <= len(data) {
			return data[:end], true
		}
		u.left = end - len(data)
		return data, false
	}
	keep := overlap(rest, text)
	u.tail = bytes.Clone(data[len(data)-keep:])
	return data[:len(data)-keep], false
}

// countDown lets the bytes up to the offset pass.
func (u *pump) countDown(data []byte) ([]byte, bool) {
	if len(data) >= u.left {
		return data[:u.left], true
	}
	u.left -= len(data)
	return data, false
}

// overlap gives the length of the longest end of data that is a start of text, but not all of it.
func overlap(data, text []byte) int {
	for n := min(len(text)-1, len(data)); n > 0; n-- {
		if bytes.HasSuffix(data, text[:n]) {
			return n
		}
	}
	return 0
}

// swap gives another connection's piece for this one's.
func (u *pump) swap(rule *active, data []byte) ([]byte, bool) {
	mine := exchange{data: data, back: make(chan []byte, 1)}
	select {
	case other := <-rule.held:
		other.back <- data
		return other.data, true
	case rule.held <- mine:
	case <-u.conn.ended:
		return nil, false
	}
	select {
	case other := <-mine.back:
		return other, true
	case <-u.conn.ended:
		return nil, false
	}
}

// write sends bytes at once, or in a trickle.
func (u *pump) write(rule *active, data []byte) bool {
	step := len(data)
	if u.answers && rule.TrickleBytes > 0 {
		step = rule.TrickleBytes
	}
	for len(data) > 0 {
		n := min(step, len(data))
		if _, err := u.to.Write(data[:n]); err != nil {
			u.proxy.forwardReset(u.conn) // a write fails once the receiver has closed or reset the connection
			return false
		}
		u.note(n)
		data = data[n:]
		if len(data) > 0 && !u.sleep(time.Duration(rule.TrickleMillis)*time.Millisecond) {
			return false
		}
	}
	return true
}

func (u *pump) note(n int) {
	u.proxy.mutex.Lock()
	defer u.proxy.mutex.Unlock()
	entry := u.proxy.count(u.conn.pair)
	if u.answers {
		entry.Answers += int64(n)
		return
	}
	entry.Requests += int64(n)
}

// sleep waits for a time, or less when the connection ends.
func (u *pump) sleep(d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-u.conn.ended:
		return false
	}
}
