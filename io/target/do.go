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
	"damasklatch/internal/waitqueue"
)

const (
	// maxAttempts limits the number of targets that one request is sent to. The retry budget limits it further.
	maxAttempts = 3
	// maxStaleConnections limits how many connections in a row may turn out to be unsuitable for a request before the attempt
	// fails.
	maxStaleConnections = 8

	// The first response byte to an idempotent request must arrive within the median latency times
	// firstByteTimeoutFactor. The limit is at least minFirstByteTimeout, but at most half of the remaining time.
	firstByteTimeoutFactor = 10
	minFirstByteTimeout    = 250 * time.Millisecond

	// A request waits for a free slot of a target for at most maxSlotWait or a quarter of the remaining time, whichever
	// is less.
	maxSlotWait = 100 * time.Millisecond
	maxWaiting  = 128 // requests that wait for a slot of one pool
)

var (
	errFirstByteTimeout = errors.New("no first response byte within the time limit")
	errProtocol         = errors.New("target switched protocols although the request did not ask for it")
	errForeignResponse  = errors.New("the response belongs to another request")
)

// Do forwards a request to a target and retries it at other targets if the retry rules allow it. The error is always an
// *Error. Do is safe for concurrent use.
//
// A request that is not idempotent is sent to a second target only if no byte of it can have reached the first.
func (pl *Pool) Do(ctx context.Context, rq *Request) (*Response, error) {
	set, ok := pl.set(rq.Pool)
	if !ok {
		return nil, &Error{Kind: NoTarget}
	}
	pl.retryBudget.CountRequest()
	cl := &call{pl: pl, set: set, queue: pl.queue(set), rq: rq, ctx: ctx, body: rq.Body, cleaner: cleaner{key: rq.Key}}
	res, err := cl.run()
	pl.recordChanges(set)
	if err != nil {
		err.MayHaveRun = err.MayHaveRun || cl.mayHaveRun
		return nil, err
	}
	return res, nil
}

// call is the state of one call of Do.
type call struct {
	pl      *Pool
	set     *balance.Set
	queue   *waitqueue.Queue
	rq      *Request
	ctx     context.Context
	cleaner cleaner

	body       interface{ Read([]byte) (int, error) }
	bodyRead   bool // the body may have been read since its start
	tried      []id.Target
	mayHaveRun bool // an earlier attempt may have run
}

func (cl *call) run() (*Response, *Error) {
	var last *Error
	for {
		name, ok := cl.pickTarget()
		if !ok {
			if last == nil {
				last = &Error{Kind: NoTarget}
				cl.pl.count(NoTarget)
			}
			return nil, last
		}
		be, ok := cl.pl.backend(name)
		if !ok { // the target was removed after it was picked
			cl.releaseTarget(name, balance.Result{Kind: balance.Dropped})
			cl.tried = append(cl.tried, name)
			continue
		}
		res, err, retryTaken := cl.tryBackend(be)
		if err == nil {
			return res, nil
		}
		last = err
		cl.tried = append(cl.tried, name)
		cl.mayHaveRun = cl.mayHaveRun || err.MayHaveRun
		if !cl.mayRetry(err) || !retryTaken && !cl.pl.retryBudget.Take() {
			return nil, err
		}
		cl.pl.count("retry")
		cl.rewind()
	}
}

// pickTarget chooses a target. The first attempt waits for a free slot if all usable targets are busy; a retry does not
// wait.
func (cl *call) pickTarget() (name id.Target, ok bool) {
	try := func() bool {
		name, ok = cl.set.Pick(time.Now(), cl.tried...)
		return ok
	}
	maxWait := maxSlotWait
	if deadline, limited := cl.ctx.Deadline(); limited {
		maxWait = min(maxWait, time.Until(deadline)/4)
	}
	if len(cl.tried) > 0 || !cl.set.HasUsable() {
		try()
		return name, ok
	}
	ok = cl.queue.Acquire(cl.ctx, maxWait, try)
	return name, ok
}

// releaseTarget reports the result of an attempt to the balancer, which frees a slot of the target, and wakes a waiting
// request.
func (cl *call) releaseTarget(name id.Target, rs balance.Result) {
	cl.set.Done(time.Now(), name, rs)
	cl.queue.Wake()
}

// mayRetry reports whether the request may be sent to another target after the failure.
func (cl *call) mayRetry(err *Error) bool {
	if cl.ctx.Err() != nil || len(cl.tried) >= maxAttempts || !cl.canRewind() {
		return false
	}
	switch err.Kind {
	case DialFailed, ResetBeforeWrite:
		return true
	case ResetAfterWrite, FirstByteTimeout, ForeignResponse, InvalidResponse, Refused:
		return cl.rq.Idempotent
	default:
		return false
	}
}

func (cl *call) canRewind() bool { return !cl.bodyRead || cl.rq.Rewind != nil }

func (cl *call) rewind() {
	if cl.bodyRead {
		cl.body, cl.bodyRead = cl.rq.Rewind(), false
	}
}

// tryBackend sends the request to a target. It uses another connection if the first was idle for too long. The last
// result reports whether the retry that follows a failure was already taken from the retry budget.
func (cl *call) tryBackend(be *backend) (*Response, *Error, bool) {
	started := time.Now()
	for range maxStaleConnections {
		at := &attempt{cl: cl, be: be, started: started}
		resp, err := at.roundTrip() //nolint:bodyclose // the body of the result closes it
		if err == nil {
			return at.newResponse(resp), nil, false
		}
		if isUnsuitable(err) && cl.canRewind() {
			cl.pl.count("stale")
			cl.rewind()
			continue
		}
		cl.pl.count(err.Kind)
		at.finish(balanceKind(err.Kind), 0)
		return nil, err, at.retryTaken
	}
	cl.releaseTarget(be.name, balance.Result{Kind: balance.Dropped})
	return nil, &Error{Kind: ResetBeforeWrite, Target: be.name, Cause: errIdleTooLong}, false
}

func balanceKind(kd ErrorKind) balance.ResultKind {
	switch kd {
	case DialFailed, ResetBeforeWrite, ResetAfterWrite, ForeignResponse, InvalidResponse:
		return balance.Broken
	case TimedOut, FirstByteTimeout:
		return balance.TimedOut
	case Refused:
		return balance.Refused
	default:
		return balance.Dropped
	}
}

// attempt is one attempt to send the request on one connection.
type attempt struct {
	cl      *call
	be      *backend
	started time.Time
	body    *requestBody
	cancel  context.CancelCauseFunc

	mu         sync.Mutex
	conn       *connAttempt // nil until a connection is available
	retryTaken bool         // the attempt was given up without a first byte; its retry was taken from the retry budget
	ended      bool         // a response arrived or the attempt failed
}

func (at *attempt) roundTrip() (*http.Response, *Error) {
	cl := at.cl
	ctx, cancel := context.WithCancelCause(cl.ctx)
	at.cancel = cancel
	req := at.newRequest(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: at.gotConn}))
	tr := at.be.freshTransport
	if cl.rq.Idempotent {
		tr = at.be.idempotentTransport
		tm := time.AfterFunc(at.firstByteTimeout(), at.onFirstByteTimeout)
		defer tm.Stop()
	}
	cl.pl.count("attempt")
	cl.pl.op.Recorder.Record(at.started, event.Event{
		Kind: event.KindRequestForwarded, Request: cl.rq.ID, Team: cl.rq.Team, Target: at.be.name,
	})
	resp, err := tr.RoundTrip(req)
	at.mu.Lock()
	at.ended = true
	gaveUp := at.retryTaken
	at.mu.Unlock()
	var er *Error
	switch {
	case err != nil:
		er = at.classify(err)
	case gaveUp:
		// The time limit passed just before the response arrived. Its context is canceled, so its body cannot be read.
		er = &Error{Kind: FirstByteTimeout, Target: at.be.name, MayHaveRun: true, Cause: errFirstByteTimeout}
	case !at.accepts(resp):
		er = &Error{Kind: ForeignResponse, Target: at.be.name, MayHaveRun: true, Cause: errForeignResponse}
		at.retireConn()
	case reportsNotRun(resp):
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
	cl.bodyRead = at.body.stop()
	return nil, er
}

// accepts reports whether the response belongs to the request, as far as can be told. A target need not name the request in its
// responses.
func (at *attempt) accepts(resp *http.Response) bool {
	switch got := resp.Header.Get("Request-Id"); {
	case got != "" && got != string(at.cl.rq.ID):
		return false
	case got != "":
		at.conn.setNamed()
		return true
	case reportsNotRun(resp):
		return at.conn.acceptUnnamedRefusal()
	default:
		return at.conn.acceptUnnamed()
	}
}

// retireConn closes the connection of the attempt. A request that has already been given the connection finds it unsuitable.
func (at *attempt) retireConn() {
	at.mu.Lock()
	defer at.mu.Unlock()
	at.conn.closeConn()
}

// reportsNotRun reports whether the target has refused the request without running it.
func reportsNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Work-Status") == "not_run"
}

func (at *attempt) gotConn(info httptrace.GotConnInfo) {
	cn, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	maxIdle := time.Duration(0)
	if info.Reused && !at.cl.rq.Idempotent {
		maxIdle = maxFreshIdle
	}
	cn.checked.SetMethod(at.cl.rq.Method)
	ca := cn.beginAttempt(time.Now(), maxIdle, "")
	at.mu.Lock()
	defer at.mu.Unlock()
	at.conn = ca
}

// firstByteTimeout returns the time limit for the first byte of the response.
func (at *attempt) firstByteTimeout() time.Duration {
	limit := max(firstByteTimeoutFactor*at.cl.set.MedianLatency(), minFirstByteTimeout)
	if deadline, ok := at.cl.ctx.Deadline(); ok {
		limit = min(limit, time.Until(deadline)/2)
	}
	return limit
}

// onFirstByteTimeout cancels the attempt if a retry is allowed. Otherwise the attempt continues, as it is the only chance
// to get a response.
func (at *attempt) onFirstByteTimeout() {
	at.mu.Lock()
	defer at.mu.Unlock()
	if at.ended || len(at.cl.tried)+1 >= maxAttempts {
		return
	}
	if readStarted, _ := at.body.state(); readStarted && at.cl.rq.Rewind == nil || !at.cl.pl.retryBudget.Take() {
		return
	}
	at.retryTaken = true
	at.cancel(errFirstByteTimeout)
}

// classify returns the error for an attempt that ended without a response. It blocks writes of the attempt first, so
// that nothing can be sent after it has determined whether the request may have run.
func (at *attempt) classify(err error) *Error {
	at.mu.Lock()
	ca, gaveUp := at.conn, at.retryTaken
	at.mu.Unlock()
	er := &Error{Target: at.be.name}
	var blocked error
	if ca != nil {
		err = ca.cn.checked.Explain(err)
		er.MayHaveRun, blocked = ca.blockWrites()
	}
	er.Cause = err
	_, bodyErr := at.body.state()
	switch {
	case errors.Is(bodyErr, ErrTooLarge):
		er.Kind = TooLarge
	case bodyErr != nil:
		er.Kind = Canceled
	case gaveUp:
		er.Kind = FirstByteTimeout
	case errors.Is(at.cl.ctx.Err(), context.DeadlineExceeded):
		er.Kind = TimedOut
	case at.cl.ctx.Err() != nil:
		er.Kind = Canceled
	case ca == nil:
		er.Kind = DialFailed
	case isInvalid(err):
		er.Kind = InvalidResponse
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

func (at *attempt) newRequest(ctx context.Context) *http.Request {
	rq, cn := at.cl.rq, at.cl.cleaner
	req := &http.Request{
		Method: rq.Method, Host: at.be.address, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &url.URL{
			Scheme: "http", Host: at.be.address, Path: rq.URL.Path, RawPath: rq.URL.RawPath, RawQuery: cn.query(rq.URL.RawQuery),
		},
		Header: cn.requestHeader(rq.Header),
	}
	at.body = &requestBody{onEnd: func() {}}
	if at.cl.body != nil && rq.ContentLength != 0 {
		at.body.src = at.cl.body
		req.ContentLength = rq.ContentLength
		if rq.ContentLength < 0 && len(rq.Trailer) > 0 {
			req.Trailer = cn.trailerNames(rq.Trailer)
			at.body.onEnd = func() { cn.trailer(req.Trailer, rq.Trailer) }
		}
	}
	req.Body = at.body
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

// newResponse returns the response for the caller of Do. The attempt stays in flight until the body was read to its end
// or closed.
func (at *attempt) newResponse(resp *http.Response) *Response {
	latency := time.Since(at.started)
	if ld, ok := parseWorkLoad(resp.Header.Get("Work-Load")); ok {
		at.cl.set.ObserveLoad(time.Now(), at.be.name, ld)
	}
	kind := balance.Success
	if resp.StatusCode >= http.StatusInternalServerError {
		kind = balance.Failed
	}
	body := &responseBody{body: resp.Body}
	body.onEnd = func(err error) {
		switch {
		case err == nil:
			at.finish(kind, latency)
		case errors.Is(err, http.ErrBodyReadAfterClose) || at.cl.ctx.Err() != nil:
			at.finish(balance.Dropped, latency)
		default:
			at.finish(balance.Broken, latency)
		}
		at.cancel(nil)
		at.cl.pl.recordChanges(at.cl.set)
	}
	return &Response{
		Target: at.be.name, Status: resp.StatusCode, Header: responseHeader(resp.Header),
		ContentLength: resp.ContentLength, Body: body, Trailer: resp.Trailer,
	}
}

func (at *attempt) finish(kind balance.ResultKind, latency time.Duration) {
	at.cl.releaseTarget(at.be.name, balance.Result{Kind: kind, Started: at.started, Latency: latency})
}
