package gateway

import (
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/io/inbound"
)

const (
	// maxBufferedResponse is the largest response body, in bytes, that is read completely before it is passed on. If such a
	// body breaks off, the request can be sent again, or the caller gets an error in place of a truncated response.
	maxBufferedResponse = 64 << 10
	// maxUnreachedAttempts is the number of targets that may fail to be reached before the gateway gives up the request.
	maxUnreachedAttempts = 3
)

// forward sends the request to a target, retries with other targets where that is safe, and writes the response. It returns a
// refusal if there is no response to write.
func (rq *request) forward() *refusal {
	rq.sv.op.Budget.CountRequest(rq.started, rq.placement.Pool)
	unreached := 0
	var last *outcome
	for {
		ch, rf := rq.sv.op.Placer.Pick(time.Now(), &rq.placement)
		if rf != nil && last == nil {
			ch, rf = rq.waitForTarget(rf)
		}
		if rf != nil {
			if last != nil {
				return rq.finish(last)
			}
			rq.last, rq.region, rq.exceedsShare = rf.Best, rf.Region, rf.ExceedsShare
			return &refusal{reason: Reason(rf.Reason), retryAfter: rf.RetryAfter}
		}
		if last != nil {
			last.discard()
		}
		oc := rq.send(ch)
		notSent := oc.kind == placement.Unreached || oc.kind == placement.Withdrawn
		if notSent {
			unreached++
			rq.attempts--
		}
		last = oc
		if oc.spurious {
			rq.allowAgain(oc.target)
		}
		if !rq.mayRetry(oc, unreached) || !notSent && !rq.sv.op.Budget.Take(time.Now(), rq.placement.Pool) {
			return rq.finish(last)
		}
	}
}

// send makes an attempt. If the request is idempotent and the target is slow to respond, it sends a second attempt to another
// target and takes the first good response. The first attempt goes on, because it may be almost complete.
func (rq *request) send(ch placement.Choice) *outcome {
	rq.recordAttempt(&ch)
	if !rq.route.Idempotent || rq.stream != nil || rq.attempts >= rq.route.MaxAttempts {
		return rq.attempt(rq.ctx, &ch)
	}
	rc := &hedge{rq: rq, done: make(chan *outcome, 2)}
	ctx, cancel := context.WithCancel(rq.ctx)
	rc.cancel = append(rc.cancel, cancel)
	go rc.run(ctx, &ch)
	tm := time.NewTimer(ch.HedgeDelay)
	defer tm.Stop()
	select {
	case oc := <-rc.done:
		return rc.finish(oc)
	case <-tm.C:
	}
	return rc.sendSecond()
}

// recordAttempt counts an attempt, and excludes its target from further attempts.
func (rq *request) recordAttempt(ch *placement.Choice) {
	rq.last = *ch
	rq.passedOn.Store(true)
	rq.placement.Tried = append(rq.placement.Tried, ch.ID)
	rq.attempts++
}

// allowAgain makes a target eligible again for further attempts. It knows the object of the request, and most others do not.
func (rq *request) allowAgain(name id.Target) {
	rq.placement.Tried = slices.DeleteFunc(rq.placement.Tried, func(tried id.Target) bool { return tried == name })
}

// mayRetry reports whether the request may be sent to another target.
func (rq *request) mayRetry(oc *outcome, unreached int) bool {
	if rq.ctx.Err() != nil || rq.stream != nil || rq.attempts >= rq.route.MaxAttempts || unreached >= maxUnreachedAttempts {
		return false
	}
	if oc.kind == placement.Succeeded || oc.kind == placement.Dropped {
		return false
	}
	return !oc.mayHaveRun || rq.route.Idempotent
}

// finish writes the response of the last attempt. It returns a refusal if there is none to pass on.
func (rq *request) finish(oc *outcome) *refusal {
	rq.targetStatus, rq.statedNotRun = oc.status, oc.info.NotRun
	if !oc.passOn {
		rq.cause = oc.cause
		oc.discard()
		return rq.refusalOf(oc)
	}
	rq.writeResponse(oc)
	return nil
}

// writeResponse writes the target's response to the caller. If the body breaks off, it closes the connection to the caller,
// so that the caller can't take a truncated body for a complete one.
func (rq *request) writeResponse(oc *outcome) {
	hd := rq.rw.Header()
	for name, vals := range endToEndHeader(oc.resp.Header) {
		hd[name] = vals
	}
	rq.sv.op.Codec.FilterResponse(hd)
	if oc.stream == nil {
		if rq.r.Method != http.MethodHead {
			hd["Content-Length"] = []string{strconv.Itoa(len(oc.body))}
		}
	} else if oc.resp.ContentLength >= 0 {
		hd["Content-Length"] = []string{strconv.FormatInt(oc.resp.ContentLength, 10)}
	}
	rq.announceClose()
	rq.rw.WriteHeader(oc.resp.StatusCode)
	_, err := rq.rw.Write(oc.body)
	if oc.stream != nil {
		defer oc.stream.Close()
		if err == nil {
			_, err = io.Copy(rq.rw, oc.stream)
		}
		if err != nil {
			rq.writeErr = err
			rq.logEnd(oc.resp.StatusCode, reasonLost)
			inbound.BreakOff(rq.r)
		}
	}
	if err == nil && rq.sv.leaving.Load() {
		// Otherwise net/http writes the response after the handler has returned, and drops the error.
		err = http.NewResponseController(rq.rw).Flush()
	}
	rq.writeErr = err
	rq.logEnd(oc.resp.StatusCode, "")
}

// refuse writes a refusal, or closes the connection if the caller has gone away.
func (rq *request) refuse(rf *refusal) {
	// net/http cancels the context for every failed read, also for one that has reached its deadline.
	if rq.r.Context().Err() != nil && rf.reason != reasonBodyLate {
		rq.logEnd(statusClientClosed, rf.reason)
		panic(http.ErrAbortHandler)
	}
	rq.announceClose()
	rq.limitBodyTime()
	rq.logEnd(rf.write(rq.rw), rf.reason)
}

// limitBodyTime limits the time for the rest of the body. net/http reads up to 256 KiB of it before it writes a refusal, and a caller
// that stops sending must not hold up the response and its connection for ever.
func (rq *request) limitBodyTime() {
	if rq.r.ContentLength == 0 || rq.bodyRead {
		return
	}
	limit := headerTimeout
	if rq.route != nil {
		limit = rq.timeLimit()
	}
	// Setting the deadline fails only for the response writers of tests.
	_ = http.NewResponseController(rq.rw).SetReadDeadline(rq.started.Add(limit))
}

// statusClientClosed is logged as the status if the caller has closed the connection.
const statusClientClosed = 499

// teamName returns the name of the request's team, or an empty name if the request is anonymous.
func (rq *request) teamName() id.Team {
	if rq.team == nil {
		return ""
	}
	return rq.team.Name
}
