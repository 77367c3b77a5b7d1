package target

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"damasklatch/core/id"
	"damasklatch/io/httpframe"
)

// Client sends requests to one target that registered itself, and keeps connections to it. It sends each request once;
// its user chooses the target and decides about retries. It is safe for concurrent use.
type Client struct {
	name        id.Target
	address     string
	tr          *http.Transport
	idleTimeout atomic.Int64 // time.Duration after which an idle connection is no longer used
}

const (
	// defaultIdleTimeout is the idle timeout of connections to a target that does not state its own.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is subtracted from the idle timeout of the target, because shortly before the timeout the
	// target may already have closed the connection, and the close has not arrived yet.
	idleMargin = 1500 * time.Millisecond
	// maxIdleConns limits the idle connections to one target.
	maxIdleConns = 64
)

// NewClient returns a client for the target at the address. Establishing a connection fails after connectTimeout.
func NewClient(name id.Target, address string, connectTimeout time.Duration) *Client {
	cl := &Client{name: name, address: address, tr: newTransport(defaultIdleTimeout, 0, connectTimeout)}
	cl.tr.MaxIdleConnsPerHost = maxIdleConns
	cl.idleTimeout.Store(int64(defaultIdleTimeout))
	return cl
}

// Close closes the idle connections. Requests in flight continue.
func (cl *Client) Close() { cl.tr.CloseIdleConnections() }

// SetIdleTimeout sets the time for which the target keeps an idle connection open. The client stops using a connection
// somewhat earlier.
func (cl *Client) SetIdleTimeout(dur time.Duration) {
	cl.idleTimeout.Store(int64(max(dur-idleMargin, dur/2)))
}

// OutgoingRequest is a request that a Client sends without changes.
type OutgoingRequest struct {
	// ID is the ID that the target returns with its response. Two attempts of a request never use the same connection.
	ID id.Request
	// ResponseID returns the ID of the request to which a response with the given header belongs, or an empty ID if the
	// header has none.
	ResponseID func(hd http.Header) id.Request
	// MaySend reports whether the request may still be sent. It is called when a connection is available, which may be long after the
	// request was made. Nil stands for a function that returns true.
	MaySend func() bool

	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	// GetBody returns a reader of the body from its start. It is nil if there is no body, or if the body can be read only
	// once and is in Stream.
	GetBody       func() io.Reader
	Stream        io.Reader // body that can be read only once
	ContentLength int64     // -1 if unknown
}

// Exchange sends a request and returns the response, whose body the caller must close. When the context ends, the
// connection is closed. A response to another request is an Error of the kind ForeignResponse.
func (cl *Client) Exchange(ctx context.Context, out *OutgoingRequest) (*http.Response, *Error) {
	var last *Error
	for range maxStaleConnections {
		ex := &exchange{client: cl, out: out}
		resp, err := ex.run(ctx)
		if err == nil || !isUnsuitable(err) || out.Stream != nil && ex.body.stop() {
			return resp, err
		}
		last = err
	}
	return nil, last
}

// exchange is one attempt to send a request on one connection.
type exchange struct {
	client *Client
	out    *OutgoingRequest
	body   *requestBody

	mu     sync.Mutex
	conn   *connAttempt // nil until a connection is available
	reused bool         // the connection has carried requests before
}

func (ex *exchange) run(ctx context.Context) (*http.Response, *Error) {
	trace := &httptrace.ClientTrace{GotConn: ex.gotConn}
	resp, err := ex.client.tr.RoundTrip(ex.newRequest(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		err = errProtocol
	}
	if err == nil && !ex.accepts(resp) {
		resp.Body.Close()
		err = errForeignResponse
	}
	if err == nil {
		resp.Body = &checkedBody{resp.Body, ex.checkedConn()}
		return resp, nil
	}
	ex.body.stop()
	er := ex.classify(ctx, err)
	if er.Kind == ForeignResponse {
		er.Foreign = resp
	}
	return nil, er
}

// checkedConn returns the connection of an exchange that got a response.
func (ex *exchange) checkedConn() *httpframe.Conn {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	return ex.conn.cn.checked
}

// accepts reports whether the response belongs to the request. If the target has sent an additional response, every later response
// on the connection arrives one request late, so a connection with a response to another request is closed. A response without an
// ID can't be told from additional bytes of the target. It is accepted if it is the first of its connection or if the request has
// no ID, and the connection then carries no further requests.
func (ex *exchange) accepts(resp *http.Response) bool {
	rid := ex.out.ResponseID(resp.Header)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	switch {
	case rid != "" && rid == ex.out.ID:
		return true
	case rid == "" && (ex.out.ID == "" || !ex.reused):
		ex.conn.retire()
		return true
	default:
		ex.conn.closeConn()
		return false
	}
}

func (ex *exchange) newRequest(ctx context.Context) *http.Request {
	out := ex.out
	ex.body = &requestBody{onEnd: func() {}}
	req := &http.Request{
		Method: out.Method, URL: out.URL, Host: out.Host, Header: out.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: ex.body,
	}
	switch {
	case out.GetBody != nil:
		ex.body.src = out.GetBody()
		req.ContentLength = out.ContentLength
	case out.Stream != nil:
		ex.body.src = out.Stream
		req.ContentLength = out.ContentLength
	}
	return req.WithContext(ctx)
}

func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	maxIdle := time.Duration(0)
	if info.Reused {
		maxIdle = time.Duration(ex.client.idleTimeout.Load())
	}
	cn.checked.SetMethod(ex.out.Method)
	ca := cn.beginAttempt(time.Now(), maxIdle, ex.out.ID)
	if ex.out.MaySend != nil && !ex.out.MaySend() {
		ca.withdraw()
	}
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.conn, ex.reused = ca, info.Reused
}

// classify returns the error for an exchange that ended without a response. It blocks writes of the attempt first, so
// that nothing can be sent after it has determined whether the request may have run.
func (ex *exchange) classify(ctx context.Context, err error) *Error {
	ex.mu.Lock()
	ca := ex.conn
	ex.mu.Unlock()
	er := &Error{Target: ex.client.name}
	var blocked error
	if ca != nil {
		err = ca.cn.checked.Explain(err)
		er.MayHaveRun, blocked = ca.blockWrites()
	}
	er.Cause = err
	_, bodyErr := ex.body.state()
	switch {
	case errors.Is(bodyErr, ErrTooLarge):
		er.Kind = TooLarge
	case bodyErr != nil:
		er.Kind = Canceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		er.Kind = TimedOut
	case ctx.Err() != nil:
		er.Kind = Canceled
	case ca == nil:
		er.Kind = DialFailed
	case errors.Is(err, errForeignResponse):
		er.Kind = ForeignResponse
	case isInvalid(err):
		er.Kind = InvalidResponse
	case errors.Is(blocked, errWithdrawn):
		er.Kind, er.Cause = Withdrawn, blocked
	case er.MayHaveRun:
		er.Kind = ResetAfterWrite
	case blocked != nil:
		// A write that fails closes the connection, so net/http may return the error of the read instead.
		er.Kind, er.Cause = ResetBeforeWrite, blocked
	default:
		er.Kind = ResetBeforeWrite
	}
	return er
}
