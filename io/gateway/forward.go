package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/id"
	"damasklatch/core/place"
	"damasklatch/io/target"
)

const (
	// bufferedAnswer is the largest response that is read before it is passed on. If it breaks off, the request can be
	// sent again or the caller gets a failure instead of a part.
	bufferedAnswer = 64 << 10
	// unreachedAttempts bounds the targets that are tried without a connection.
	unreachedAttempts = 3
)

// errForeign is the cause of a response that was thrown away.
var errForeign = errors.New("the response belongs to another request, or is a success that no target signed")

// outcome is the end of one attempt.
type outcome struct {
	resp    *http.Response
	answer  Answer
	body    []byte
	rest    io.ReadCloser // what follows body; nil if it is complete
	kind    place.ResultKind
	refusal refusal // if there is no response to pass on
	cause   error   // why there is none
	ran     bool    // the target may have run the request
}

// forward sends the request to a target, or to more if that is allowed, and passes the response on. It returns a refusal
// if there is none.
func (rq *request) forward() *refusal {
	rq.sv.op.Budget.Request(rq.started, rq.ask.Pool)
	unreached := 0
	var last *outcome
	for {
		ch, rf := rq.sv.op.Placer.Pick(time.Now(), &rq.ask)
		if rf != nil {
			if last != nil {
				return rq.finish(last)
			}
			rq.last, rq.region = rf.Best, rf.Region
			return &refusal{reason: Reason(rf.Reason), after: rf.After}
		}
		oc := rq.send(ch)
		if oc.kind == place.Unreached {
			unreached++
			rq.attempts--
		}
		last = oc
		if !rq.mayRetry(oc, unreached) || oc.kind != place.Unreached && !rq.sv.op.Budget.Take(time.Now(), rq.ask.Pool) {
			return rq.finish(last)
		}
		oc.discard()
	}
}

// send makes one attempt. Idempotent work whose target is silent is also sent to a second one, and the first response to
// arrive is taken: giving up the first attempt would waste work that may be nearly done.
func (rq *request) send(ch place.Choice) *outcome {
	rq.note(&ch)
	if !rq.route.Idempotent || rq.stream != nil || rq.attempts >= rq.route.MaxAttempts {
		return rq.attempt(rq.ctx, &ch)
	}
	rc := &race{rq: rq, done: make(chan *outcome, 2)}
	ctx, cancel := context.WithCancel(rq.ctx)
	rc.cancel = append(rc.cancel, cancel)
	go rc.run(ctx, &ch)
	tm := time.NewTimer(ch.Silence)
	defer tm.Stop()
	select {
	case oc := <-rc.done:
		return rc.won(oc)
	case <-tm.C:
	}
	return rc.second()
}

// note counts an attempt.
func (rq *request) note(ch *place.Choice) {
	rq.last = *ch
	rq.ask.Tried = append(rq.ask.Tried, ch.ID)
	rq.attempts++
}

// race is two attempts at the same time.
type race struct {
	rq     *request
	done   chan *outcome
	cancel []context.CancelFunc
}

func (rc *race) run(ctx context.Context, ch *place.Choice) { rc.done <- rc.rq.attempt(ctx, ch) }

// second makes a second attempt if a target and the budget allow it, and returns the first good outcome.
func (rc *race) second() *outcome {
	rq := rc.rq
	ch, rf := rq.sv.op.Placer.Pick(time.Now(), &rq.ask)
	if rf != nil {
		return rc.won(<-rc.done)
	}
	if !rq.sv.op.Budget.Take(time.Now(), rq.ask.Pool) {
		rq.sv.op.Placer.Done(time.Now(), &ch, rq.route.Name, place.Result{Kind: place.Dropped})
		return rc.won(<-rc.done)
	}
	rq.note(&ch)
	ctx, cancel := context.WithCancel(rq.ctx)
	rc.cancel = append(rc.cancel, cancel)
	go rc.run(ctx, &ch)
	oc := <-rc.done
	if oc.kind != place.Succeeded {
		oc.discard()
		oc = <-rc.done
		return rc.won(oc)
	}
	rc.won(oc)
	return oc
}

// won ends the attempts. The response that was taken is closed with its own attempt.
func (rc *race) won(oc *outcome) *outcome {
	if oc.rest != nil {
		oc.rest = &canceling{oc.rest, rc.end}
		return oc
	}
	rc.end()
	return oc
}

func (rc *race) end() {
	for _, cancel := range rc.cancel {
		cancel()
	}
}

// mayRetry reports whether the request may be sent to another target.
func (rq *request) mayRetry(oc *outcome, unreached int) bool {
	if rq.ctx.Err() != nil || rq.stream != nil || rq.attempts >= rq.route.MaxAttempts || unreached >= unreachedAttempts {
		return false
	}
	if oc.kind == place.Succeeded || oc.kind == place.Dropped {
		return false
	}
	return !oc.ran || rq.route.Idempotent
}

func (oc *outcome) discard() {
	if oc.rest != nil {
		oc.rest.Close()
	}
}

// finish passes the response of the last attempt on, if there is one.
func (rq *request) finish(oc *outcome) *refusal {
	if oc.resp == nil || oc.answer.NotRun || oc.answer.Misplaced {
		rq.cause = oc.cause
		oc.discard()
		return &oc.refusal
	}
	rq.pass(oc)
	return nil
}

// attempt sends the request to one target.
func (rq *request) attempt(ctx context.Context, ch *place.Choice) *outcome {
	sent := time.Now()
	ctx, cancel := context.WithCancel(ctx)
	lk := rq.sv.link(&ch.Target)
	resp, err := lk.Exchange(ctx, rq.outgoing(&ch.Target, sent))
	var oc *outcome
	if err != nil {
		oc = rq.failed(err)
	} else {
		oc = rq.read(ctx, lk, resp)
	}
	done := &attemptEnd{rq: rq, ch: *ch, latency: time.Since(sent), load: oc.answer.Load}
	if oc.rest == nil {
		cancel()
		done.report(oc.kind)
	} else {
		oc.rest = &streaming{ReadCloser: oc.rest, ctx: ctx, cancel: cancel, end: done, kind: oc.kind}
	}
	return oc
}

// attemptEnd tells the placer once how an attempt ended.
type attemptEnd struct {
	rq      *request
	ch      place.Choice
	latency time.Duration
	load    *place.Load
	once    sync.Once
}

func (ae *attemptEnd) report(kind place.ResultKind) {
	ae.once.Do(func() {
		ae.rq.sv.op.Placer.Done(time.Now(), &ae.ch, ae.rq.route.Name, place.Result{Kind: kind, Latency: ae.latency, Load: ae.load})
		ae.rq.sv.op.Metrics.attempt(kind)
	})
}

// streaming is the rest of a response that is passed on while it arrives. The attempt ends with it: a target that breaks it off,
// or sends without end, has failed.
type streaming struct {
	io.ReadCloser
	ctx    context.Context
	cancel func()
	end    *attemptEnd
	kind   place.ResultKind
}

// Read implements io.Reader.
func (st *streaming) Read(buf []byte) (int, error) {
	num, err := st.ReadCloser.Read(buf)
	switch {
	case err == nil || errors.Is(err, io.EOF):
	case errors.Is(st.ctx.Err(), context.Canceled):
		st.kind = place.Dropped
	default:
		st.kind = place.Broken
	}
	return num, err
}

// Close implements io.Closer.
func (st *streaming) Close() error {
	err := st.ReadCloser.Close()
	st.cancel()
	st.end.report(st.kind)
	return err
}

// canceling ends the exchange when the body is closed.
type canceling struct {
	io.ReadCloser
	cancel func()
}

func (cn *canceling) Close() error {
	err := cn.ReadCloser.Close()
	cn.cancel()
	return err
}

func (rq *request) outgoing(tg *place.Target, now time.Time) *target.Outgoing {
	hd := endToEnd(rq.r.Header)
	if len(hd["User-Agent"]) == 0 {
		hd["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	fw := Forward{Target: tg.ID, Left: rq.started.Add(rq.limit()).Sub(now)}
	if rq.team != nil {
		fw.Team = rq.team.Name
	}
	rq.sv.op.Dialect.Forward(hd, fw)
	out := &target.Outgoing{
		Method: rq.r.Method, Host: rq.r.Host, Header: hd, Size: rq.ask.Size,
		URL: &url.URL{Scheme: "http", Host: tg.Address, Opaque: pathOf(rq.r)},
	}
	switch {
	case rq.stream != nil:
		out.Stream, out.Size = rq.stream, rq.r.ContentLength
	case rq.body != nil:
		out.Body = rq.reader
	}
	return out
}

func (rq *request) reader() io.Reader { return bytes.NewReader(rq.body) }

// failed classifies an attempt without a response.
func (rq *request) failed(err *target.Error) *outcome {
	oc := &outcome{ran: err.MayHaveRun, kind: place.Broken, refusal: refusal{reason: reasonLost}, cause: err}
	switch err.Kind {
	case target.DialFailed:
		oc.kind = place.Unreached
	case target.Canceled:
		oc.kind = place.Dropped
	case target.TimedOut:
		if !oc.ran {
			oc.kind = place.Unreached
		}
		oc.refusal.reason = reasonTimeout
	default:
	}
	if !oc.ran {
		oc.refusal = refusal{reason: reasonUnreached, after: targetAfter}
		if err.Kind == target.TimedOut {
			oc.refusal.reason = reasonNotSent
		}
	}
	return oc
}

// read reads the response as far as it is buffered.
func (rq *request) read(ctx context.Context, lk *link, resp *http.Response) *outcome {
	oc := &outcome{resp: resp, answer: rq.sv.op.Dialect.Answer(resp.StatusCode, resp.Header), ran: true}
	if oc.answer.KeepIdle > 0 {
		lk.KeepIdle(oc.answer.KeepIdle)
	}
	if !rq.genuine(oc) {
		resp.Body.Close()
		oc.resp, oc.kind, oc.refusal, oc.cause = nil, place.Broken, refusal{reason: reasonLost}, errForeign
		return oc
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferedAnswer+1))
	switch {
	case err != nil:
		resp.Body.Close()
		oc.resp, oc.kind, oc.refusal, oc.cause = nil, place.Broken, refusal{reason: reasonLost}, err
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			oc.refusal.reason = reasonTimeout
		} else if ctx.Err() != nil {
			oc.kind = place.Dropped
		}
		return oc
	case len(body) > bufferedAnswer && !oc.answer.Genuine:
		// A failure that no target signed may be bytes without end.
		resp.Body.Close()
		oc.resp, oc.kind, oc.refusal, oc.cause = nil, place.Broken, refusal{reason: reasonLost}, errForeign
		return oc
	case len(body) > bufferedAnswer:
		oc.rest = resp.Body
	default:
		resp.Body.Close()
	}
	oc.body = body
	switch {
	case oc.answer.Misplaced:
		oc.kind, oc.ran = place.Misplaced, false
		oc.refusal = refusal{reason: reasonUnreached, after: targetAfter}
	case oc.answer.NotRun:
		oc.kind, oc.ran = place.Shed, false
		oc.refusal = refusal{reason: reasonRefused, after: targetAfter}
	case resp.StatusCode >= http.StatusInternalServerError:
		oc.kind = place.Failed
	default:
		oc.kind = place.Succeeded
	}
	return oc
}

// genuine reports whether the response belongs to the request. A late response to an earlier request on the same
// connection does not.
func (rq *request) genuine(oc *outcome) bool {
	if oc.answer.ID != "" && oc.answer.ID != rq.caller.ID {
		return false
	}
	success := oc.resp.StatusCode >= http.StatusOK && oc.resp.StatusCode < http.StatusMultipleChoices
	return !success || oc.answer.Genuine
}

// pass writes the response of the target to the caller. If it breaks off, the connection to the caller is closed, so that
// the caller cannot take the part for the whole.
func (rq *request) pass(oc *outcome) {
	hd := rq.rw.Header()
	for name, vals := range endToEnd(oc.resp.Header) {
		hd[name] = vals
	}
	rq.sv.op.Dialect.Passed(hd)
	if oc.rest == nil {
		if rq.r.Method != http.MethodHead {
			hd["Content-Length"] = []string{strconv.Itoa(len(oc.body))}
		}
	} else if oc.resp.ContentLength >= 0 {
		hd["Content-Length"] = []string{strconv.FormatInt(oc.resp.ContentLength, 10)}
	}
	rq.rw.WriteHeader(oc.resp.StatusCode)
	_, err := rq.rw.Write(oc.body)
	if oc.rest != nil {
		defer oc.rest.Close()
		if err == nil {
			_, err = io.Copy(rq.rw, oc.rest)
		}
		if err != nil {
			rq.log(oc.resp.StatusCode, reasonLost)
			panic(http.ErrAbortHandler)
		}
	}
	rq.log(oc.resp.StatusCode, "")
}

func (rq *request) refuse(rf *refusal) {
	if rq.r.Context().Err() != nil {
		rq.log(statusClosed, rf.reason)
		panic(http.ErrAbortHandler)
	}
	rq.log(rf.write(rq.rw), rf.reason)
}

// statusClosed stands in logs for a caller that went away.
const statusClosed = 499

// teamOf returns the name of the request's team for logs.
func (rq *request) teamOf() id.Team {
	if rq.team == nil {
		return ""
	}
	return rq.team.Name
}
