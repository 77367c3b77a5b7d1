package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/place"
)

const (
	// bufferedAnswer is the largest response that is read before it is passed on. If it breaks off, the request can be
	// sent again or the caller gets a failure instead of a part.
	bufferedAnswer = 64 << 10
	// unreachedAttempts bounds the targets that are tried without a connection.
	unreachedAttempts = 3
)

// forward sends the request to a target, or to more if that is allowed, and passes the response on. It returns a refusal
// if there is none.
func (rq *request) forward() *refusal {
	rq.sv.op.Budget.CountRequest(rq.started, rq.ask.Pool)
	unreached := 0
	var last *outcome
	for {
		ch, rf := rq.sv.op.Placer.Pick(time.Now(), &rq.ask)
		if rf != nil {
			if last != nil {
				return rq.finish(last)
			}
			rq.last, rq.region = rf.Best, rf.Region
			return &refusal{reason: Reason(rf.Reason), after: rf.RetryAfter}
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
	tm := time.NewTimer(ch.HedgeDelay)
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

// pass writes the response of the target to the caller. If it breaks off, the connection to the caller is closed, so that
// the caller cannot take the part for the whole.
func (rq *request) pass(oc *outcome) {
	hd := rq.rw.Header()
	for name, vals := range endToEnd(oc.resp.Header) {
		hd[name] = vals
	}
	rq.sv.op.Codec.FilterResponse(hd)
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
