package store

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"damasklatch/io/httpframe"
	"github.com/pkg/errors"
)

const (
	defaultTimeout = 2 * time.Second

	// dialTimeout is shorter than the timeout of a call, so that an unreachable address can be told from a store that
	// does not respond.
	dialTimeout = time.Second

	// idleTimeout is how long an idle connection is kept open, for example between two watches.
	idleTimeout = 30 * time.Second

	maxIdleConnections = 4
	maxHeaderBytes     = 16 << 10

	// maxListBytes limits the JSON documents of lists, watches and VMs. The list of 420 VMs has about 80 KB.
	maxListBytes = 4 << 20
)

// Options configures a Client. Address is required.
type Options struct {
	Address      netip.AddrPort // address of the platform store
	LocalAddress netip.Addr     // source address of connections; the zero value means any
	Timeout      time.Duration  // maximum duration of a call; zero means 2 s. The wait of a watch is added
}

// Client is an HTTP client of the platform store. It is safe for concurrent use.
type Client struct {
	address   string
	timeout   time.Duration
	transport *http.Transport
}

var _ Store = (*Client)(nil)

// NewClient returns a client. It opens connections on demand.
func NewClient(op Options) *Client {
	if op.Timeout <= 0 {
		op.Timeout = defaultTimeout
	}
	dialer := &net.Dialer{Timeout: min(dialTimeout, op.Timeout)}
	if op.LocalAddress.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(op.LocalAddress, 0))
	}
	return &Client{
		address: op.Address.String(),
		timeout: op.Timeout,
		transport: &http.Transport{
			DialContext:            httpframe.Checked(dialer.DialContext),
			DisableCompression:     true, // so that the size limits apply to the bytes sent
			MaxIdleConns:           maxIdleConnections,
			MaxIdleConnsPerHost:    maxIdleConnections,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
	}
}

// Close closes idle connections.
func (cl *Client) Close() { cl.transport.CloseIdleConnections() }

// call is a request to the store.
type call struct {
	op      string
	key     string // key or prefix, for errors
	method  string
	path    string
	query   url.Values
	header  http.Header
	body    []byte
	wait    time.Duration // wait of a watch, added to the timeout
	maxBody int           // maximum size of the response body
}

func (ca *call) isWrite() bool { return ca.method != http.MethodGet }

// newError returns an error of this call.
func (ca *call) newError(kind Kind, err error) *Error {
	return &Error{Kind: kind, Op: ca.op, Key: ca.key, Err: err}
}

// noResponseError returns the error of a call that was sent and got no complete response.
func (ca *call) noResponseError(err error) *Error {
	if ca.isWrite() {
		return ca.newError(Unknown, err)
	}
	return ca.newError(Timeout, err)
}

// malformedError returns the error of a call with a malformed response. A write may have taken effect.
func (ca *call) malformedError(err error) *Error {
	if ca.isWrite() {
		return ca.newError(Unknown, err)
	}
	return ca.newError(Invalid, err)
}

// response is a complete response with status 200.
type response struct {
	version Version // from the ETag header; zero if there is none
	body    []byte
}

// do performs a call. A response with a status other than 200 results in an error.
func (cl *Client) do(ctx context.Context, ca *call) (*response, *Error) {
	ctx, cancel := context.WithTimeout(ctx, cl.timeout+ca.wait)
	defer cancel()
	rq, err := cl.newHTTPRequest(ctx, ca)
	if err != nil {
		return nil, ca.newError(Invalid, err) // not sent
	}
	rs, err := cl.transport.RoundTrip(rq)
	if err != nil {
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, ca.newError(Unavailable, err)
		}
		return nil, cl.dropConnections(ca.noResponseError(err))
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, int64(ca.maxBody)+1))
	if err != nil {
		return nil, cl.dropConnections(ca.noResponseError(err))
	}
	if len(body) > ca.maxBody {
		return nil, ca.malformedError(errors.Errorf("response is longer than %d bytes", ca.maxBody))
	}
	return ca.parse(rs, body)
}

// dropConnections closes the idle connections after a call without a response and returns er. If the connection of the
// call is dead, the others may have failed at the same time, and each would cost another call its timeout.
func (cl *Client) dropConnections(er *Error) *Error {
	cl.transport.CloseIdleConnections()
	return er
}

func (cl *Client) newHTTPRequest(ctx context.Context, ca *call) (*http.Request, error) {
	target := url.URL{Scheme: "http", Host: cl.address, Path: ca.path, RawQuery: ca.query.Encode()}
	var body io.Reader
	if ca.body != nil {
		body = bytes.NewReader(ca.body)
	}
	rq, err := http.NewRequestWithContext(ctx, ca.method, target.String(), body)
	if err != nil {
		return nil, err
	}
	if ca.header != nil {
		rq.Header = ca.header
	}
	return rq, nil
}

// parse converts an HTTP response to a response or an error, depending on the status.
func (ca *call) parse(rs *http.Response, body []byte) (*response, *Error) {
	etag := rs.Header.Get("ETag")
	var version Version
	if etag != "" {
		var err error
		if version, err = parseETag(etag); err != nil {
			return nil, ca.malformedError(err)
		}
	}
	switch rs.StatusCode {
	case http.StatusOK:
		return &response{version: version, body: body}, nil
	case http.StatusNotFound:
		return nil, ca.newError(NotFound, nil)
	case http.StatusPreconditionFailed:
		er := ca.newError(Conflict, nil)
		er.Version = version
		return nil, er
	case http.StatusRequestEntityTooLarge:
		return nil, ca.newError(TooLarge, nil)
	case http.StatusTooManyRequests:
		return nil, ca.newError(RateLimited, nil)
	case http.StatusServiceUnavailable:
		return nil, ca.newError(Unavailable, errors.New(rs.Status))
	case http.StatusBadRequest, http.StatusPreconditionRequired:
		return nil, ca.newError(Invalid, errors.New(rs.Status)) // refused, so a write had no effect either
	default:
		return nil, ca.malformedError(errors.New(rs.Status))
	}
}

// Get implements Store.
func (cl *Client) Get(ctx context.Context, key string) (Object, error) {
	ca := &call{op: "get", key: key, method: http.MethodGet, path: "/v1/objects/" + key, maxBody: MaxObjectBytes}
	if !ValidKey(key) {
		return Object{}, ca.newError(Invalid, errInvalidKey)
	}
	an, er := cl.do(ctx, ca)
	if er != nil {
		return Object{}, er
	}
	if an.version == 0 {
		return Object{}, ca.malformedError(errNoETag)
	}
	return Object{Key: key, Version: an.version, Value: an.body}, nil
}

// Put implements Store.
func (cl *Client) Put(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	if value == nil {
		value = []byte{}
	}
	ca := &call{
		op: "put", key: key, method: http.MethodPut, path: "/v1/objects/" + key, body: value,
		header: conditionHeader(expected), maxBody: maxHeaderBytes,
	}
	switch {
	case !ValidKey(key):
		return 0, ca.newError(Invalid, errInvalidKey)
	case len(value) > MaxObjectBytes:
		return 0, ca.newError(TooLarge, nil)
	}
	an, er := cl.do(ctx, ca)
	if er != nil {
		return 0, er
	}
	if an.version == 0 {
		return 0, ca.malformedError(errNoETag)
	}
	return an.version, nil
}

// Delete implements Store.
func (cl *Client) Delete(ctx context.Context, key string, expected Version) error {
	ca := &call{
		op: "delete", key: key, method: http.MethodDelete, path: "/v1/objects/" + key,
		header: conditionHeader(expected), maxBody: maxHeaderBytes,
	}
	if !ValidKey(key) || expected == 0 {
		return ca.newError(Invalid, errInvalidKey)
	}
	if _, er := cl.do(ctx, ca); er != nil {
		return er
	}
	return nil
}

// conditionHeader returns the header that makes a write conditional on the expected version.
func conditionHeader(expected Version) http.Header {
	if expected == 0 {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {formatETag(expected)}}
}

// List implements Store.
func (cl *Client) List(ctx context.Context, prefix string) ([]Info, Version, error) {
	ca := &call{
		op: "list", key: prefix, method: http.MethodGet, path: "/v1/list",
		query: url.Values{"prefix": {prefix}}, maxBody: maxListBytes,
	}
	an, er := cl.do(ctx, ca)
	if er != nil {
		return nil, 0, er
	}
	infos, revision, err := decodeList(an.body, prefix)
	if err != nil {
		return nil, 0, ca.malformedError(err)
	}
	return infos, revision, nil
}

// Watch implements Store.
func (cl *Client) Watch(
	ctx context.Context, prefix string, after Version, wait time.Duration,
) ([]Change, Version, error) {
	ca := &call{
		op: "watch", key: prefix, method: http.MethodGet, path: "/v1/watch", wait: wait, maxBody: maxListBytes,
		query: url.Values{
			"prefix":  {prefix},
			"after":   {strconv.FormatUint(uint64(after), 10)},
			"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
	}
	an, er := cl.do(ctx, ca)
	if er != nil {
		return nil, 0, er
	}
	changes, revision, err := decodeWatch(an.body, prefix, after)
	if err != nil {
		return nil, 0, ca.malformedError(err)
	}
	return changes, revision, nil
}

// VMs implements Store.
func (cl *Client) VMs(ctx context.Context) ([]VMRecord, error) {
	ca := &call{op: "vms", method: http.MethodGet, path: "/v1/vms", maxBody: maxListBytes}
	an, er := cl.do(ctx, ca)
	if er != nil {
		return nil, er
	}
	recs, err := decodeVMs(an.body)
	if err != nil {
		return nil, ca.malformedError(err)
	}
	return recs, nil
}
