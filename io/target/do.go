package target

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"damasklatch/core/balance"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/internal/waitline"
)

const (
	// maxAttempts bounds the targets that see one request, besides the retry budget.
	maxAttempts = 3
	// maxStale bounds the connections that are found too old in succession.
	maxStale = 8

	// The time to the first byte of idempotent work is bounded by this multiple of the usual latency, but not below
	// leastFirstByte and not above half of the time left.
	firstByteFactor = 10
	leastFirstByte  = 250 * time.Millisecond

	// A request waits for a free slot of a target for at most this time, and a quarter of the time left.
	slotWait    = 100 * time.Millisecond
	mostWaiting = 128
)

var (
	errSilent   = errors.New("no response within the bound on the time to first byte")
	errProtocol = errors.New("target changed the protocol without being asked")
)

// Do forwards a request to one target, or to more as the rules for retries allow. The error is an *Error.
//
// Work that is not idempotent is sent to a second target only if no byte can have reached the first.
func (pl *Pool) Do(ctx context.Context, rq *Request) (*Response, error) {
	set, ok := pl.set(rq.Pool)
	if !ok {
		return nil, &Error{Kind: NoTarget}
	}
	pl.budget.CountRequest()
	cl := &call{pl: pl, set: set, line: pl.line(set), rq: rq, ctx: ctx, body: rq.Body, cleaner: cleaner{key: rq.Key}}
	res, err := cl.run()
	pl.note(set)
	if err != nil {
		err.MayHaveRun = err.MayHaveRun || cl.mayHaveRun
		return nil, err
	}
	return res, nil
}

// call is the progress of one request.
type call struct {
	pl      *Pool
	set     *balance.Set
	line    *waitline.Line
	rq      *Request
	ctx     context.Context
	cleaner cleaner

	body       interface{ Read([]byte) (int, error) }
	touched    bool // the body was read and cannot be rewound
	tried      []id.Target
	mayHaveRun bool // an earlier attempt may have run
}

func (cl *call) run() (*Response, *Error) {
	var last *Error
	for {
		name, ok := cl.pick()
		if !ok {
			if last == nil {
				last = &Error{Kind: NoTarget}
				cl.pl.count(NoTarget)
			}
			return nil, last
		}
		be, ok := cl.pl.backend(name)
		if !ok { // removed since
			cl.done(name, balance.Result{Kind: balance.Dropped})
			cl.tried = append(cl.tried, name)
			continue
		}
		res, err, paid := cl.try(be)
		if err == nil {
			return res, nil
		}
		last = err
		cl.tried = append(cl.tried, name)
		cl.mayHaveRun = cl.mayHaveRun || err.MayHaveRun
		if !cl.mayRetry(err) || !paid && !cl.pl.budget.Take() {
			return nil, err
		}
		cl.pl.count("retry")
		cl.rewind()
	}
}

// pick chooses a target. The first attempt waits for a slot if all targets that can be used are busy.
func (cl *call) pick() (name id.Target, ok bool) {
	try := func() bool {
		name, ok = cl.set.Pick(time.Now(), cl.tried...)
		return ok
	}
	most := slotWait
	if deadline, limited := cl.ctx.Deadline(); limited {
		most = min(most, time.Until(deadline)/4)
	}
	if len(cl.tried) > 0 || !cl.set.HasUsable() {
		try()
		return name, ok
	}
	ok = cl.line.Take(cl.ctx, most, try)
	return name, ok
}

// done ends the request at a target, which frees a slot there.
func (cl *call) done(name id.Target, rs balance.Result) {
	cl.set.Done(time.Now(), name, rs)
	cl.line.Wake()
}

// mayRetry reports whether another target may be tried after the failure.
func (cl *call) mayRetry(err *Error) bool {
	if cl.ctx.Err() != nil || len(cl.tried) >= maxAttempts || !cl.canRewind() {
		return false
	}
	switch err.Kind {
	case DialFailed, ResetBeforeWrite:
		return true
	case ResetAfterWrite, FirstByteTimeout, Refused:
		return cl.rq.Idempotent
	default:
		return false
	}
}

func (cl *call) canRewind() bool { return !cl.touched || cl.rq.Rewind != nil }

func (cl *call) rewind() {
	if cl.touched {
		cl.body, cl.touched = cl.rq.Rewind(), false
	}
}

// try sends the request to a target, on another connection if the first was idle for too long. It reports whether the
// retry after a failure is already taken from the budget.
func (cl *call) try(be *backend) (*Response, *Error, bool) {
	started := time.Now()
	for range maxStale {
		at := &attempt{cl: cl, be: be, started: started}
		resp, err := at.roundTrip() //nolint:bodyclose // the body of the result closes it
		if err == nil {
			return at.result(resp), nil, false
		}
		if errors.Is(err.Cause, errStale) && cl.canRewind() {
			cl.pl.count("stale")
			cl.rewind()
			continue
		}
		cl.pl.count(err.Kind)
		at.done(balanceKind(err.Kind), 0)
		return nil, err, at.paid
	}
	cl.done(be.name, balance.Result{Kind: balance.Dropped})
	return nil, &Error{Kind: ResetBeforeWrite, Target: be.name, Cause: errStale}, false
}

func balanceKind(kd ErrorKind) balance.ResultKind {
	switch kd {
	case DialFailed, ResetBeforeWrite, ResetAfterWrite:
		return balance.Broken
	case TimedOut, FirstByteTimeout:
		return balance.TimedOut
	case Refused:
		return balance.Refused
	default:
		return balance.Dropped
	}
}

// attempt is one request on one connection.
type attempt struct {
	cl      *call
	be      *backend
	started time.Time
	up      *upload
	cancel  context.CancelCauseFunc

	mu   sync.Mutex
	cn   *conn // nil before a connection was found
	paid bool  // the retry after the time to first byte was taken from the budget
	over bool  // a response arrived or the attempt failed
}

func (at *attempt) roundTrip() (*http.Response, *Error) {
	cl := at.cl
	ctx, cancel := context.WithCancelCause(cl.ctx)
	at.cancel = cancel
	req := at.request(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: at.gotConn}))
	tr := at.be.fresh
	if cl.rq.Idempotent {
		tr = at.be.pooled
		tm := time.AfterFunc(at.firstByte(), at.silent)
		defer tm.Stop()
	}
	cl.pl.count("attempt")
	cl.pl.op.Recorder.Record(at.started, event.Event{
		Kind: event.KindRequestForwarded, Request: cl.rq.ID, Team: cl.rq.Team, Target: at.be.name,
	})
	resp, err := tr.RoundTrip(req)
	at.mu.Lock()
	at.over = true
	silent := at.paid
	at.mu.Unlock()
	var er *Error
	switch {
	case err != nil:
		er = at.classify(err)
	case silent:
		// The bound passed just before the response arrived; its body cannot be read any more.
		er = &Error{Kind: FirstByteTimeout, Target: at.be.name, MayHaveRun: true, Cause: errSilent}
	case refused(resp):
		er = &Error{Kind: Refused, Target: at.be.name}
	case resp.StatusCode < http.StatusOK:
		er = &Error{Kind: ResetAfterWrite, Target: at.be.name, MayHaveRun: true, Cause: errProtocol}
	default:
		return resp, nil
	}
	if resp != nil {
		resp.Body.Close()
	}
	cancel(er)
	cl.touched = at.up.seal()
	return nil, er
}

func refused(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Work-Status") == "not_run"
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	most := time.Duration(0)
	if info.Reused && !at.cl.rq.Idempotent {
		most = freshFor
	}
	cn.begin(time.Now(), most)
	at.mu.Lock()
	defer at.mu.Unlock()
	at.cn = cn
}

// firstByte returns the bound on the time to the first byte of a response.
func (at *attempt) firstByte() time.Duration {
	bound := max(firstByteFactor*at.cl.set.MedianLatency(), leastFirstByte)
	if deadline, ok := at.cl.ctx.Deadline(); ok {
		bound = min(bound, time.Until(deadline)/2)
	}
	return bound
}

// silent gives up the attempt if another one is allowed. Otherwise waiting on is the best chance of a response.
func (at *attempt) silent() {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.over || len(at.cl.tried)+1 >= maxAttempts {
		return
	}
	if touched, _ := at.up.state(); touched && at.cl.rq.Rewind == nil || !at.cl.pl.budget.Take() {
		return
	}
	at.paid = true
	at.cancel(errSilent)
}

// classify tells what the end of an attempt without a response means. Sealing the connection first makes the answer
// final: what was not written by now is never written.
func (at *attempt) classify(err error) *Error {
	at.mu.Lock()
	cn, silent := at.cn, at.paid
	at.mu.Unlock()
	er := &Error{Target: at.be.name, MayHaveRun: cn != nil && cn.seal(), Cause: err}
	_, bodyErr := at.up.state()
	switch {
	case errors.Is(bodyErr, ErrTooLarge):
		er.Kind = TooLarge
	case bodyErr != nil:
		er.Kind = Canceled
	case silent:
		er.Kind = FirstByteTimeout
	case errors.Is(at.cl.ctx.Err(), context.DeadlineExceeded):
		er.Kind = TimedOut
	case at.cl.ctx.Err() != nil:
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

func (at *attempt) request(ctx context.Context) *http.Request {
	rq, cn := at.cl.rq, at.cl.cleaner
	req := &http.Request{
		Method: rq.Method, Host: at.be.address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{
			Scheme: "http", Host: at.be.address, Path: rq.URL.Path, RawPath: rq.URL.RawPath, RawQuery: cn.query(rq.URL.RawQuery),
		},
		Header: cn.request(rq.Header),
	}
	at.up = &upload{onEnd: func() {}}
	if at.cl.body != nil && rq.ContentLength != 0 {
		at.up.src = at.cl.body
		req.ContentLength = rq.ContentLength
		if rq.ContentLength < 0 && len(rq.Trailer) > 0 {
			req.Trailer = cn.trailerNames(rq.Trailer)
			at.up.onEnd = func() { cn.trailer(req.Trailer, rq.Trailer) }
		}
	}
	req.Body = at.up
	req.Header["Request-Id"] = []string{string(rq.ID)}
	if rq.Team != "" {
		req.Header["Team"] = []string{string(rq.Team)}
	}
	req.Header["Via"] = append(req.Header["Via"][:len(req.Header["Via"]):len(req.Header["Via"])], "1.1 damasklatch")
	if deadline, ok := ctx.Deadline(); ok {
		left := max(time.Until(deadline).Milliseconds(), 1)
		req.Header["Request-Deadline-Ms"] = []string{strconv.FormatInt(left, 10)}
	}
	return req.WithContext(ctx)
}

// result passes the response on. The attempt stays in flight until the body is read or closed.
func (at *attempt) result(resp *http.Response) *Response {
	latency := time.Since(at.started)
	if ld, ok := parseWorkLoad(resp.Header.Get("Work-Load")); ok {
		at.cl.set.ObserveLoad(time.Now(), at.be.name, ld)
	}
	kind := balance.Success
	if resp.StatusCode >= http.StatusInternalServerError {
		kind = balance.Failed
	}
	body := &download{body: resp.Body}
	body.end = func(err error) {
		switch {
		case err == nil:
			at.done(kind, latency)
		case errors.Is(err, http.ErrBodyReadAfterClose) || at.cl.ctx.Err() != nil:
			at.done(balance.Dropped, latency)
		default:
			at.done(balance.Broken, latency)
		}
		at.cancel(nil)
		at.cl.pl.note(at.cl.set)
	}
	return &Response{
		Target: at.be.name, Status: resp.StatusCode, Header: cleanResponse(resp.Header),
		ContentLength: resp.ContentLength, Body: body, Trailer: resp.Trailer,
	}
}

func (at *attempt) done(kind balance.ResultKind, latency time.Duration) {
	at.cl.done(at.be.name, balance.Result{Kind: kind, Started: at.started, Latency: latency})
}
