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
)

// Client holds the connections to a target that registered itself. It sends each request once; which target gets it, and
// whether it is sent again, is decided elsewhere. It is safe for concurrent use.
type Client struct {
	name    id.Target
	address string
	tr      *http.Transport
	idle    atomic.Int64 // time.Duration for which the target keeps an idle connection
}

const (
	// linkIdle is the time for which an idle connection is kept if the target does not say how long it keeps it.
	linkIdle = 8 * time.Second
	// idleMargin is the part of the target's time in which a connection is not used any more, because the target's
	// close may be on its way.
	idleMargin = 1500 * time.Millisecond
	// mostIdle bounds the idle connections to one target.
	mostIdle = 64
)

// NewClient returns a link to the target at an address. A new connection must be established within the given time.
func NewClient(name id.Target, address string, dial time.Duration) *Client {
	lk := &Client{name: name, address: address, tr: newTransport(linkIdle, 0, dial)}
	lk.tr.MaxIdleConnsPerHost = mostIdle
	lk.idle.Store(int64(linkIdle))
	return lk
}

// Close closes the idle connections.
func (lk *Client) Close() { lk.tr.CloseIdleConnections() }

// SetIdleTimeout tells for how long the target keeps an idle connection.
func (lk *Client) SetIdleTimeout(dur time.Duration) { lk.idle.Store(int64(max(dur-idleMargin, dur/2))) }

// OutgoingRequest is a request as it is sent. It is not changed.
type OutgoingRequest struct {
	Method string
	URL    *url.URL
	Host   string
	Header http.Header
	// GetBody returns the body from its start; nil if there is none or if it can't be read twice, see Stream.
	GetBody       func() io.Reader
	Stream        io.Reader // read once
	ContentLength int64     // -1 if unknown
}

// Exchange sends a request and returns the response, whose body the caller must close. The end of the context closes the
// connection.
func (lk *Client) Exchange(ctx context.Context, out *OutgoingRequest) (*http.Response, *Error) {
	for range maxStale {
		ex := &exchange{link: lk, out: out}
		resp, err := ex.run(ctx)
		if err == nil || !errors.Is(err.Cause, errStale) || out.Stream != nil && ex.up.seal() {
			return resp, err
		}
	}
	return nil, &Error{Kind: ResetBeforeWrite, Target: lk.name, Cause: errStale}
}

// exchange is one request on one connection.
type exchange struct {
	link *Client
	out  *OutgoingRequest
	up   *upload

	mu sync.Mutex
	cn *conn // nil before a connection was found
}

func (ex *exchange) run(ctx context.Context) (*http.Response, *Error) {
	trace := &httptrace.ClientTrace{GotConn: ex.gotConn}
	resp, err := ex.link.tr.RoundTrip(ex.request(httptrace.WithClientTrace(ctx, trace)))
	if err == nil && resp.StatusCode < http.StatusOK {
		resp.Body.Close()
		err = errProtocol
	}
	if err == nil {
		return resp, nil
	}
	ex.up.seal()
	return nil, ex.classify(ctx, err)
}

func (ex *exchange) request(ctx context.Context) *http.Request {
	out := ex.out
	ex.up = &upload{onEnd: func() {}}
	req := &http.Request{
		Method: out.Method, URL: out.URL, Host: out.Host, Header: out.Header,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Body: ex.up,
	}
	switch {
	case out.GetBody != nil:
		ex.up.src = out.GetBody()
		req.ContentLength = out.ContentLength
	case out.Stream != nil:
		ex.up.src = out.Stream
		req.ContentLength = out.ContentLength
	}
	return req.WithContext(ctx)
}

func (ex *exchange) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	most := time.Duration(0)
	if info.Reused {
		most = time.Duration(ex.link.idle.Load())
	}
	cn.begin(time.Now(), most)
	ex.mu.Lock()
	defer ex.mu.Unlock()
	ex.cn = cn
}

// classify tells what the end of an exchange without a response means. Sealing the connection first makes the answer
// final: what was not written by now is never written.
func (ex *exchange) classify(ctx context.Context, err error) *Error {
	ex.mu.Lock()
	cn := ex.cn
	ex.mu.Unlock()
	er := &Error{Target: ex.link.name, MayHaveRun: cn != nil && cn.seal(), Cause: err}
	_, bodyErr := ex.up.state()
	switch {
	case errors.Is(bodyErr, ErrTooLarge):
		er.Kind = TooLarge
	case bodyErr != nil:
		er.Kind = Canceled
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		er.Kind = TimedOut
	case ctx.Err() != nil:
		er.Kind = Canceled
	case cn == nil:
		er.Kind = DialFailed
	case er.MayHaveRun:
		er.Kind = ResetAfterWrite
	default:
		er.Kind = ResetBeforeWrite
	}
	return er
}
