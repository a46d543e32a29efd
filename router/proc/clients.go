package proc

import (
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"mangolug.org/core/fleet"
	"mangolug.org/router/door"
)

const (
	// headShare is the fraction of the process's memory for all request heads that are being read, and again for the large heads of requests in
	// progress: ordinary heads are 1 to 3 KB, of which a machine of 112 MB then holds 1,800 at a moment.
	headShare = 0.05
	// largeHeadBytes is the approximate memory in bytes from which the head of a request in progress counts as large; requestBytes holds smaller ones.
	largeHeadBytes = 16 << 10
	// headFieldBytes is the approximate memory in bytes of a field of a head besides its text, from heads with fields of 5 bytes.
	headFieldBytes = 128
	// headBytesLimit is the largest head in bytes that an operator can allow.
	headBytesLimit = 1 << 20
	// writeTimeout is how long a caller may leave a part of its answer in the send buffer of 64 KB, of which a third has to be free for the next part: 2 to 4 KB
	// per second, less than a stream of a model has.
	writeTimeout = 10 * time.Second
	// scarceWriteTimeout is the same while requests are refused for lack of room: an answer that is not read takes the room of a request. It is above the
	// time in which a lost packet is sent again.
	scarceWriteTimeout = 2 * time.Second
	// scarceInterval is the least time between two searches for such answers.
	scarceInterval = 100 * time.Millisecond
	// unreadBodyTimeout is how long a caller may take to send the rest of a body after its request was refused.
	unreadBodyTimeout = time.Second
	// sideFileShare is the limit of connections to each of the ports for readiness and metrics as a fraction of the file descriptors, where that is
	// less than door.SideConns, and minSideConns is the least such limit.
	sideFileShare, minSideConns = 0.02, 8
)

// headBytes returns the largest head in bytes that callers may send now.
func (p *Process) headBytes() int64 {
	if t := p.table.Load(); t != nil && t.Config.Limits.HeaderBytes > 0 {
		return min(int64(t.Config.Limits.HeaderBytes), headBytesLimit)
	}
	return maxHeaderBytes
}

// headsMemory returns the limit in bytes of the memory of all heads in progress; 0 means no limit.
func (p *Process) headsMemory() int64 { return int64(headShare * float64(p.settings.Load().Memory)) }

// newHeads returns the limits on callers' heads and on answers that they don't read.
func (p *Process) newHeads() *door.Heads {
	return &door.Heads{
		Size: p.headBytes, Memory: p.headsMemory, WriteTimeout: writeTimeout,
		OnClose: func(c door.Closing) { p.closedClient(c.String()) },
	}
}

// closedClient counts a client that was refused or whose connection was closed, by reason.
func (p *Process) closedClient(reason string) {
	p.count("clients." + reason)
	p.closedClients.Add(1)
}

// logClients logs how many clients were closed or refused since the last call, if any.
func (p *Process) logClients() {
	if n := p.closedClients.Swap(0); n > 0 {
		heads, memory := p.entrance.Door.Heads.InProgress()
		p.log.Warn("clients closed", "clients", n, "heads", heads, "headBytes", memory, "largeHeadBytes", p.largeHeads.Load(), "callers", p.entrance.Conns.Count())
	}
}

// serveCaller serves a caller's request unless the large heads of requests in progress use up their memory.
func (p *Process) serveCaller(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		body := &requestBody{ReadCloser: r.Body}
		r.Body = body
		defer func() { // the server reads what is left of the body without a limit of its own
			if !body.ended.Load() {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(unreadBodyTimeout)) // fails only if the connection is gone
			}
		}()
	}
	if memory := headMemory(r); memory > largeHeadBytes {
		defer p.largeHeads.Add(-memory)
		if limit, total := p.headsMemory(), p.largeHeads.Add(memory); total > limit && total > memory && limit > 0 {
			p.refuseLargeHead(w, r)
			return
		}
	}
	p.relay.ServeHTTP(w, r)
}

// requestBody notes whether a body was read to its end. A read deadline that is set after that would end the wait for the next request, and with it that
// request.
type requestBody struct {
	io.ReadCloser
	ended atomic.Bool
}

// Read reads from the body.
func (b *requestBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		b.ended.Store(true)
	}
	return n, err
}

// closeBlocked closes connections with answers that are not read, since requests are refused for lack of room.
func (p *Process) closeBlocked() {
	now, last := int64(p.now()), p.blockedClosedAt.Load()
	if now-last >= int64(scarceInterval) && p.blockedClosedAt.CompareAndSwap(last, now) {
		p.entrance.Conns.CloseBlocked(scarceWriteTimeout)
	}
}

// refuseLargeHead refuses a request that has not run, to be sent again.
func (p *Process) refuseLargeHead(w http.ResponseWriter, r *http.Request) {
	p.closedClient("largeHeadsFull")
	info, _ := p.relay.HeaderCodec.ParseRequest(r.Header) // a request that is refused either way
	p.relay.HeaderCodec.SetRequestID(w.Header(), info.ID)
	w.Header().Set("Retry-After", strconv.Itoa(1))
	w.Header().Set("Connection", "close")
	http.Error(w, fleet.ReasonTooManyOpen.String(), http.StatusServiceUnavailable)
}

// headMemory returns the approximate memory of a request's head.
func headMemory(r *http.Request) int64 {
	n := len(r.RequestURI)
	for name, values := range r.Header {
		n += len(name)
		for _, v := range values {
			n += headFieldBytes + len(v)
		}
	}
	return int64(n)
}

// openSide opens a port for readiness or metrics.
func (p *Process) openSide(name, address string, handler http.Handler) (*door.Side, error) {
	listener, err := door.Listen(address, 0)
	if err != nil {
		return nil, errors.Wrapf(err, "%s address %s can't be opened", name, address)
	}
	s := door.NewSide(listener, handler)
	s.OnFull = func() { p.closedClient(name + "Full") }
	s.Heads.OnClose = func(c door.Closing) { p.closedClient(name + "." + c.String()) }
	s.Server.ErrorLog = p.log.StandardLog()
	if files := p.settings.Load().Files; files > 0 {
		s.Limit = max(minSideConns, min(s.Limit, int(sideFileShare*float64(files))))
	}
	return s, nil
}
