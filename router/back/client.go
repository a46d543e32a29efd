package back

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"

	"mangolug.org/core/fleet"
)

// Headers between routers and backend servers.
const (
	HeaderAttempt = "X-Attempt-Id"
	HeaderRequest = "X-Request-Id"
	HeaderTeam    = "X-Team"
	HeaderFencing = "Fencing-Term"
	HeaderNotRun  = "X-Not-Run"
)

// Settings of a Client; a zero field takes its default.
type Settings struct {
	Source         net.IP        // address that connections are made from; nil for any
	ConnectTimeout time.Duration // to open a connection
	IdleTimeout    time.Duration // after which an unused connection is closed
	IdlePerServer  int           // unused connections kept to a server
	HeaderBytes    int64         // of an answer's header
	LoadTimeout    time.Duration // for one load report
	Silence        time.Duration // after which a connection whose other end acknowledges nothing is broken off; 0 for the system's default
	OnceIdle       time.Duration // unused for longer than this, a kept connection does not carry a call that may not be repeated; 0 for a fresh one each
}

// Defaults of Settings.
const (
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 15 * time.Second
	DefaultIdlePerServer  = 64
	DefaultHeaderBytes    = 64 << 10
	DefaultLoadTimeout    = time.Second
)

// bufferBytes is the size of a connection's buffers: with hundreds of connections the usual 4 KB are most of a small router's
// memory.
const bufferBytes = 2 << 10

// Client sends attempts to backend servers; its zero value works.
type Client struct {
	Settings Settings

	once   sync.Once
	pooled *http.Transport // keeps connections
	single *http.Transport // a fresh connection for each call
}

// Attempt is one try of a request at one backend server.
type Attempt struct {
	ID      string // unique; the server echoes it
	Request string
	Team    string
	Server  string
	Address string // ip:port
	Fencing bool   // Term is sent as the fencing number
	Term    uint64
	Method  string
	Target  string // path and query
	Header  http.Header
	Body    []byte
	Once    bool        // the call may not be repeated
	Lapsed  func() bool // checked immediately before the first write; nil for never
}

// Answer is a backend server's answer to an attempt; Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // of the body in bytes; -1 if it is not told beforehand
	Body   io.ReadCloser
}

// ServerError tells why an attempt brought no answer.
type ServerError struct {
	Server string
	Reason fleet.Reason
	Sent   bool // a byte of the request may have left
	NotRun bool // it is certain that the server did not run the request
	Status int  // of the server's answer; 0 if there was none
	Err    error
}

// Error gives the reason with the server and the cause.
func (e *ServerError) Error() string {
	text := fmt.Sprintf("server %s: %s", e.Server, e.Reason)
	if e.Status != 0 {
		text += fmt.Sprintf(", status %d", e.Status)
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap gives the cause.
func (e *ServerError) Unwrap() error { return e.Err }

func (c *Client) init() {
	s := &c.Settings
	if s.ConnectTimeout == 0 {
		s.ConnectTimeout = DefaultConnectTimeout
	}
	if s.IdleTimeout == 0 {
		s.IdleTimeout = DefaultIdleTimeout
	}
	if s.IdlePerServer == 0 {
		s.IdlePerServer = DefaultIdlePerServer
	}
	if s.HeaderBytes == 0 {
		s.HeaderBytes = DefaultHeaderBytes
	}
	if s.LoadTimeout == 0 {
		s.LoadTimeout = DefaultLoadTimeout
	}
	c.pooled, c.single = c.transport(), c.transport()
	c.single.DisableKeepAlives = true
}

func (c *Client) transport() *http.Transport {
	dialer := &net.Dialer{Timeout: c.Settings.ConnectTimeout}
	if c.Settings.Silence > 0 {
		Probe(dialer, c.Settings.Silence)
	}
	if c.Settings.Source != nil {
		dialer.LocalAddr = &net.TCPAddr{IP: c.Settings.Source}
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			raw, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: raw}, nil
		},
		DisableCompression:     true,
		MaxIdleConnsPerHost:    c.Settings.IdlePerServer,
		IdleConnTimeout:        c.Settings.IdleTimeout,
		MaxResponseHeaderBytes: c.Settings.HeaderBytes,
		ReadBufferSize:         bufferBytes,
		WriteBufferSize:        bufferBytes,
	}
}

// Close closes the connections that are not in use.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.pooled.CloseIdleConnections()
	c.single.CloseIdleConnections()
}

// Send makes one attempt; all errors are of type *ServerError.
func (c *Client) Send(ctx context.Context, a Attempt) (*Answer, error) {
	request, err := a.request(ctx)
	if err != nil {
		return nil, &ServerError{Server: a.Server, Reason: fleet.ReasonBadRequest, NotRun: true, Err: err}
	}
	response, err := c.Do(request, a.Server, a.Once, a.Lapsed)
	if err != nil {
		return nil, err
	}
	return accept(&a, response)
}

// Do sends a request to a server, on a kept connection only where OnceIdle allows it if it may not be repeated; lapsed is asked
// before the first write and may be nil. All errors are of type *ServerError.
func (c *Client) Do(request *http.Request, server string, once bool, lapsed func() bool) (*http.Response, error) {
	c.once.Do(c.init)
	transport := c.pooled
	if once && c.Settings.OnceIdle == 0 {
		transport = c.single
	}
	g := &gate{lapsed: lapsed, once: once}
	response, err := c.try(transport, request, g)
	if g.unused() {
		if err == nil {
			response.Body.Close() // it answers something else, as nothing was asked yet
		}
		if request.GetBody != nil {
			request.Body, _ = request.GetBody() // SetBody's never fails
		}
		g = &gate{lapsed: lapsed, once: once}
		response, err = c.try(c.single, request, g)
	}
	if err != nil {
		return nil, g.failure(server, err)
	}
	response.Body = &answerBody{response.Body, g.used()}
	return response, nil
}

// try sends a request through a gate.
func (c *Client) try(transport *http.Transport, request *http.Request, g *gate) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if own, ok := info.Conn.(*conn); ok {
				own.enter(g, info.Reused, g.once && info.IdleTime > c.Settings.OnceIdle)
			}
		},
	})
	return transport.RoundTrip(request.WithContext(ctx))
}

// answerBody is the body of an answer with the connection on which it comes.
type answerBody struct {
	io.ReadCloser
	conn *conn
}

// Spoil closes the connection of an answer that Do gave, since what comes next on it may belong to another request.
func Spoil(response *http.Response) {
	if body, ok := response.Body.(*answerBody); ok && body.conn != nil {
		_ = body.conn.Close() // it is given up either way
	}
}

// failure names what went wrong before an answer's header came.
//
// The gate is asked, not the error: net/http may give the error of its reader when its writer was refused.
func (g *gate) failure(server string, err error) *ServerError {
	sent, lapsed := g.seal()
	e := &ServerError{Server: server, Sent: sent, NotRun: !sent, Err: err}
	switch {
	case sent:
		e.Reason = fleet.ReasonServerFailed
	case lapsed:
		e.Reason = fleet.ReasonGrantExpired
	default:
		e.Reason = fleet.ReasonConnectFailed
	}
	return e
}

// request builds the request; net/http reads its body a second time only where nothing was written.
func (a *Attempt) request(ctx context.Context) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, a.Method, "http://"+a.Address+a.Target, nil)
	if err != nil {
		return nil, err
	}
	if len(a.Body) > 0 {
		SetBody(request, a.Body)
	}
	for name, values := range a.Header {
		request.Header[name] = values
	}
	request.Header.Set(HeaderAttempt, a.ID)
	request.Header.Set(HeaderRequest, a.Request)
	request.Header.Set(HeaderTeam, a.Team)
	request.Header.Del(HeaderFencing)
	if a.Fencing {
		request.Header.Set(HeaderFencing, strconv.FormatUint(a.Term, 10))
	}
	return request, nil
}

// SetBody gives a request its body, which net/http may read again for a second connection: the gate lets it write to
// one only if nothing went to the first.
func SetBody(request *http.Request, body []byte) {
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	request.Body, _ = request.GetBody() // it never fails
	request.ContentLength = int64(len(body))
}

// accept checks that an answer belongs to the attempt and that its end can be told.
func accept(a *Attempt, response *http.Response) (*Answer, error) {
	refuse := func(reason fleet.Reason, notRun bool) error {
		response.Body.Close()
		return &ServerError{Server: a.Server, Reason: reason, Sent: true, NotRun: notRun, Status: response.StatusCode}
	}
	if response.Header.Get(HeaderAttempt) != a.ID {
		Spoil(response)
		return nil, refuse(fleet.ReasonForeignAnswer, false)
	}
	overloaded := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	if overloaded && response.Header.Get(HeaderNotRun) == "true" {
		return nil, refuse(fleet.ReasonServerOverloaded, true)
	}
	if endless(a, response) {
		return nil, refuse(fleet.ReasonStreamBroken, false)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header,
		Length: response.ContentLength, Body: response.Body,
	}, nil
}

// endless reports an answer that ends where its connection ends, so that a cut can't be told from its end.
func endless(a *Attempt, response *http.Response) bool {
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	empty := a.Method == http.MethodHead || response.StatusCode == http.StatusNoContent || response.StatusCode == http.StatusNotModified
	return response.ContentLength < 0 && !chunked && !empty
}
