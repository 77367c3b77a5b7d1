package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/place"
	"damasklatch/io/target"
)

// errForeign is the cause of a response that was thrown away.
var errForeign = errors.New("the response belongs to another request, or is a success that no target signed")

// outcome is the end of one attempt.
type outcome struct {
	resp    *http.Response
	answer  ResponseInfo
	body    []byte
	rest    io.ReadCloser // what follows body; nil if it is complete
	kind    place.ResultKind
	refusal refusal // if there is no response to pass on
	cause   error   // why there is none
	ran     bool    // the target may have run the request
}

func (oc *outcome) discard() {
	if oc.rest != nil {
		oc.rest.Close()
	}
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

func (rq *request) outgoing(tg *place.Target, now time.Time) *target.OutgoingRequest {
	hd := endToEnd(rq.r.Header)
	if len(hd["User-Agent"]) == 0 {
		hd["User-Agent"] = []string{""} // keeps net/http from adding its own
	}
	fw := ForwardInfo{Target: tg.ID, Remaining: rq.started.Add(rq.limit()).Sub(now)}
	if rq.team != nil {
		fw.Team = rq.team.Name
	}
	rq.sv.op.Codec.RewriteRequest(hd, fw)
	out := &target.OutgoingRequest{
		Method: rq.r.Method, Host: rq.r.Host, Header: hd, ContentLength: rq.ask.Size,
		URL: &url.URL{Scheme: "http", Host: tg.Address, Opaque: pathOf(rq.r)},
	}
	switch {
	case rq.stream != nil:
		out.Stream, out.ContentLength = rq.stream, rq.r.ContentLength
	case rq.body != nil:
		out.GetBody = rq.reader
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
	oc := &outcome{resp: resp, answer: rq.sv.op.Codec.DecodeResponse(resp.StatusCode, resp.Header), ran: true}
	if oc.answer.IdleTimeout > 0 {
		lk.SetIdleTimeout(oc.answer.IdleTimeout)
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
	case len(body) > bufferedAnswer && !oc.answer.Signed:
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
	return !success || oc.answer.Signed
}
