package back

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"syscall"
	"time"

	"mangolug.org/core/fleet"
	"mangolug.org/core/head"
)

// Headers of requests and responses between routers and backend servers.
const (
	HeaderAttempt = "X-Attempt-Id"
	HeaderRequest = "X-Request-Id"
	HeaderTeam    = "X-Team"
	HeaderFencing = "Fencing-Term"
	HeaderNotRun  = "X-Not-Run"
)

// Settings are the parameters of a Client. Zero fields take their defaults.
type Settings struct {
	Source            net.IP        // local address of connections; nil for any
	ConnectTimeout    time.Duration // time to open a connection
	IdleTimeout       time.Duration // time after which an idle connection is closed
	IdlePerServer     int           // maximum idle connections per server
	HeaderBytes       int64         // maximum size of a response header
	LoadTimeout       time.Duration // time for one load report
	UnackedTimeout    time.Duration // time without acknowledgement after which a connection is closed; 0 for the system's default
	NonIdempotentIdle time.Duration // maximum idle time of a connection reused for a call that may not be repeated; 0 for a new connection per call
}

// Defaults of Settings.
const (
	DefaultConnectTimeout = time.Second
	DefaultIdleTimeout    = 15 * time.Second
	DefaultIdlePerServer  = 64
	DefaultHeaderBytes    = 64 << 10
	DefaultLoadTimeout    = time.Second
)

// bufferBytes is the size of a connection's buffers. With hundreds of connections, the usual 4 KB would be most of
// a small router's memory.
const bufferBytes = 2 << 10

// Client sends attempts to backend servers. The zero value is ready to use.
type Client struct {
	Settings Settings

	once     sync.Once
	pooled   *http.Transport // reuses connections
	unpooled *http.Transport // opens a new connection for each call
}

// Attempt is one attempt to run a request on a backend server.
type Attempt struct {
	ID            string // unique; echoed by the server
	Request       string
	Team          string
	Server        string
	Address       string // ip:port
	Fencing       bool   // whether to send Term as the fencing number
	Term          uint64
	Method        string
	Target        string // path and query
	Header        http.Header
	Body          []byte
	NonIdempotent bool        // the call may not be repeated
	EndMarker     bool        // an end marker ends the response if it is a stream of events, so it needs no length
	GrantExpired  func() bool // reports whether the grant has expired; called immediately before the first write; nil for never
}

// Answer is a backend server's response to an attempt. Body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Length int64 // length of the body in bytes; -1 if it is not known
	Body   io.ReadCloser

	CloseDelimited bool // only the end of the connection ends the body, so that the end of the body proves nothing
}

// ServerError is the reason why an attempt got no usable response.
type ServerError struct {
	Server string
	Reason fleet.Reason
	Sent   bool // a byte of the request may have been sent
	NotRun bool // it is certain that the server did not run the request
	Status int  // status of the response; 0 if there was none
	Err    error
}

// Error returns the server, the reason and the cause.
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

// Unwrap returns the cause.
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
	c.pooled, c.unpooled = c.transport(), c.transport()
	c.unpooled.DisableKeepAlives = true
}

func (c *Client) dialer() *net.Dialer {
	d := &net.Dialer{Timeout: c.Settings.ConnectTimeout}
	if c.Settings.UnackedTimeout > 0 {
		SetDeadPeerTimeout(d, c.Settings.UnackedTimeout)
	}
	if c.Settings.Source != nil {
		d.LocalAddr = &net.TCPAddr{IP: c.Settings.Source}
	}
	return d
}

func (c *Client) transport() *http.Transport {
	dialer := c.dialer()
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

// Close closes idle connections.
func (c *Client) Close() {
	c.once.Do(c.init)
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Send makes one attempt. All errors are of type *ServerError.
func (c *Client) Send(ctx context.Context, a Attempt) (*Answer, error) {
	request, err := a.request(ctx)
	if err != nil {
		return nil, &ServerError{Server: a.Server, Reason: fleet.ReasonBadRequest, NotRun: true, Err: err}
	}
	response, err := c.Do(request, a.Server, a.NonIdempotent, a.GrantExpired)
	if err != nil {
		return nil, err
	}
	return checkResponse(&a, response)
}

// Do sends a request to a server. If nonIdempotent is set, the request may not be repeated, and a connection is reused only
// as Settings.NonIdempotentIdle allows. grantExpired reports whether the grant has expired; it is called before the first write and
// may be nil. All errors are of type *ServerError.
func (c *Client) Do(request *http.Request, server string, nonIdempotent bool, grantExpired func() bool) (*http.Response, error) {
	c.once.Do(c.init)
	transport := c.pooled
	if nonIdempotent && c.Settings.NonIdempotentIdle == 0 {
		transport = c.unpooled
	}
	g := &gate{expired: grantExpired, once: nonIdempotent, length: bodyLength(request)}
	response, err := c.roundTrip(transport, request, g)
	if g.sealIfUnused() {
		if err == nil {
			response.Body.Close() // not a response to this request, as nothing was sent yet
		}
		if request.GetBody != nil {
			request.Body, _ = request.GetBody() // the function that SetBody sets never fails
		}
		g = &gate{expired: grantExpired, once: nonIdempotent, length: bodyLength(request)}
		response, err = c.roundTrip(c.unpooled, request, g)
	}
	if err != nil {
		return nil, g.failure(server, err)
	}
	return g.checked(server, response)
}

// bodyLength returns the length of a request's body in bytes; it is negative if that is not known.
func bodyLength(request *http.Request) int64 {
	if request.ContentLength == 0 && request.Body != nil && request.Body != http.NoBody {
		return -1
	}
	return request.ContentLength
}

// Ask sends a request that may be repeated on a connection of its own, so that no earlier response can be read as its response. All
// errors are of type *ServerError.
func (c *Client) Ask(request *http.Request, server string) (*http.Response, error) {
	c.once.Do(c.init)
	g := &gate{length: bodyLength(request)}
	response, err := c.roundTrip(c.unpooled, request, g)
	if err != nil {
		return nil, g.failure(server, err)
	}
	return g.checked(server, response)
}

// Listens reports whether a process listens at an address; the error is one of the dial that shows neither.
func (c *Client) Listens(ctx context.Context, address string) (bool, error) {
	c.once.Do(c.init)
	connection, err := c.dialer().DialContext(ctx, "tcp", address)
	switch {
	case err == nil:
		_ = connection.Close() // nothing was sent on it
		return true, nil
	case errors.Is(err, syscall.ECONNREFUSED):
		return false, nil
	}
	return false, err
}

// roundTrip sends a request whose writes are controlled by a gate.
func (c *Client) roundTrip(transport *http.Transport, request *http.Request, g *gate) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(request.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if own, ok := info.Conn.(*conn); ok {
				own.attach(g, info.Reused, g.once && info.IdleTime > c.Settings.NonIdempotentIdle)
			}
		},
		GotFirstResponseByte: g.recordResponse,
	})
	return transport.RoundTrip(request.WithContext(ctx))
}

// responseBody is the body of a response with its connection.
type responseBody struct {
	io.ReadCloser
	conn     *conn
	response *http.Response
}

// Read reads from the body. The end of a body with a malformed trailer is an error.
func (b *responseBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		for name, values := range b.response.Trailer {
			if values != nil && !head.IsName(name) {
				CloseConnection(b.response) // what follows on it can't be told from the trailer
				return n, &head.Error{What: "the name of a field in its trailer", Text: name}
			}
		}
	}
	return n, err
}

// checked returns a response that belongs to the attempt, or an error.
func (g *gate) checked(server string, response *http.Response) (*http.Response, error) {
	response.Body = &responseBody{response.Body, g.writtenConn(), response}
	if err := g.check(server, response); err != nil {
		CloseConnection(response)
		response.Body.Close()
		return nil, err
	}
	return response, nil
}

// CloseConnection closes the connection of a response that Do returned, since further data on it may belong to another
// request.
func CloseConnection(response *http.Response) {
	if body, ok := response.Body.(*responseBody); ok && body.conn != nil {
		_ = body.conn.Close() // the connection is discarded either way
	}
}

// failure returns the error of an attempt that got no response header. The reason comes from the gate and not from
// err, as net/http may return the error of its reader when the write was rejected.
func (g *gate) failure(server string, err error) *ServerError {
	sent, expired := g.seal()
	e := &ServerError{Server: server, Sent: sent, NotRun: !sent, Err: err}
	switch {
	case sent:
		e.Reason = fleet.ReasonServerFailed
	case expired:
		e.Reason = fleet.ReasonGrantExpired
	default:
		e.Reason = fleet.ReasonConnectFailed
	}
	return e
}

// check returns an error if a response belongs to an earlier attempt, if its head is malformed, or if the server switched protocols, which no request
// asks for and after which only the end of the connection ends the response.
func (g *gate) check(server string, response *http.Response) error {
	early, sent := g.sealIfEarly()
	if early {
		return &ServerError{Server: server, Reason: fleet.ReasonForeignAnswer, Sent: sent, NotRun: !sent, Status: response.StatusCode, Err: errEarly}
	}
	err := g.writtenConn().answerHead()
	switch {
	case err != nil:
		return &ServerError{Server: server, Reason: fleet.ReasonForeignAnswer, Sent: true, Status: response.StatusCode, Err: err}
	case response.StatusCode == http.StatusSwitchingProtocols:
		return &ServerError{Server: server, Reason: fleet.ReasonStreamBroken, Sent: true, Status: response.StatusCode}
	}
	return nil
}

// request builds the HTTP request. net/http reads its body a second time only if nothing was written.
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

// SetBody sets the body of a request. net/http may read it again for a second connection, which the gate permits
// only if nothing was written to the first.
func SetBody(request *http.Request, body []byte) {
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	request.Body, _ = request.GetBody() // GetBody never fails
	request.ContentLength = int64(len(body))
}

// checkResponse returns the answer if the response belongs to the attempt and its end can be detected.
func checkResponse(a *Attempt, response *http.Response) (*Answer, error) {
	reject := func(reason fleet.Reason, notRun bool) error {
		response.Body.Close()
		return &ServerError{Server: a.Server, Reason: reason, Sent: true, NotRun: notRun, Status: response.StatusCode}
	}
	if response.Header.Get(HeaderAttempt) != a.ID {
		CloseConnection(response)
		return nil, reject(fleet.ReasonForeignAnswer, false)
	}
	overloaded := response.StatusCode == http.StatusTooManyRequests || response.StatusCode == http.StatusServiceUnavailable
	if overloaded && response.Header.Get(HeaderNotRun) == "true" {
		return nil, reject(fleet.ReasonServerOverloaded, true)
	}
	unframed := FramingOf(a.Method, response) == FramingConnection
	if unframed && !(a.EndMarker && IsEventStream(response.Header)) { // truncation can't be detected
		return nil, reject(fleet.ReasonStreamBroken, false)
	}
	return &Answer{
		Status: response.StatusCode, Header: response.Header,
		Length: response.ContentLength, Body: response.Body, CloseDelimited: unframed,
	}, nil
}
