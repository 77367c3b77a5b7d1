package gateway

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"damasklatch/core/fairness"
	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/routing"
	"damasklatch/io/inbound"
)

// request is the state of a caller's request while it is served.
type request struct {
	sv      *Server
	rw      http.ResponseWriter
	r       *http.Request
	caller  RequestInfo
	started time.Time

	table     *routing.Table
	route     *routing.Route
	team      *routing.Team
	placement placement.Request
	buffer    bodyBuffer
	body      []byte    // nil if there is no body; its beginning if stream is set
	stream    io.Reader // the whole body, if it is too large to be buffered
	bodyRead  bool      // the whole body is in body
	ctx       context.Context

	attempts int
	// mayHaveRun is set once a target may have run the request.
	mayHaveRun atomic.Bool
	// unstated is the number of responses of targets whose status means that the request has not run, without a statement of it.
	unstated atomic.Int32
	// passedOn is set once an attempt has begun.
	passedOn     atomic.Bool
	last         placement.Choice // choice of the last attempt, or the best target of a refused placement
	region       id.Region        // region of the refused placement
	exceedsShare bool             // the team of the refused placement had got more than its share
	cause        error            // error of the last attempt, if it got no response
	writeErr     error            // why the response could not be written to the caller
	targetStatus int              // status of the last attempt's response; zero if there was none
	statedNotRun bool             // the target of the last attempt stated that it has not run the request
}

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rq := &request{sv: sv, rw: rw, r: r, started: time.Now(), caller: sv.op.Codec.DecodeRequest(r.Header)}
	sv.running.add(rq)
	defer sv.running.remove(rq)
	if rf := rq.admit(); rf != nil {
		rq.refuse(rf)
		return
	}
	limit := rq.timeLimit()
	ctx, cancel := context.WithDeadline(r.Context(), rq.started.Add(limit))
	defer cancel()
	rq.ctx = ctx
	defer rq.buffer.release()
	rf := rq.readBody(limit)
	if rf == nil {
		rf = rq.forward()
	}
	if rf == nil {
		return
	}
	if rq.mayHaveRun.Load() {
		rf = rf.afterRun()
	} else if rq.team != nil {
		rq.sv.op.Limiter.Return(rq.started, rq.team.Name)
	}
	rq.refuse(rf)
}

// timeLimit returns the time within which the request must be answered: the timeout of the route, or the deadline of the
// caller if that is shorter.
func (rq *request) timeLimit() time.Duration {
	if rq.caller.Deadline > 0 {
		return min(rq.caller.Deadline, rq.route.Timeout)
	}
	return rq.route.Timeout
}

// admit decides whether the request may be forwarded, and returns a refusal if not. It also prepares the placement.
func (rq *request) admit() *refusal {
	if rf := rq.checkFraming(); rf != nil {
		return rf
	}
	rq.table = rq.sv.table.Load()
	leaseValid := rq.sv.op.Lease.Valid()
	if rq.table == nil {
		return &refusal{reason: reasonNoConfig, retryAfter: notReadyRetryAfter}
	}
	if rf := rq.checkSize(); rf != nil {
		return rf
	}
	rt, ok := rq.table.Match(rq.r.Host, rq.r.URL.EscapedPath())
	if !ok {
		return currentRefusal(leaseValid, reasonNoRoute)
	}
	rq.route = rt
	if rf := rq.authorize(leaseValid); rf != nil {
		return rf
	}
	rq.buildPlacement()
	if rq.team != nil {
		if wait, ok := rq.sv.op.Limiter.Take(rq.started, rq.team.Name); !ok {
			return &refusal{reason: reasonRate, retryAfter: wait}
		}
	}
	// Requests beyond the limit of a team are not counted: they need no slots, and would move work of other teams away.
	rq.sv.op.Placer.CountArrival(rq.started, &rq.placement)
	return nil
}

// checkFraming refuses a request whose end is ambiguous, and closes its connection. What follows may have been meant as its body.
func (rq *request) checkFraming() *refusal {
	err := inbound.CheckFraming(rq.r)
	if err == nil {
		return nil
	}
	rq.cause = err
	rq.rw.Header()["Connection"] = []string{"close"}
	return &refusal{reason: reasonBadRequest}
}

// announceClose asks the caller to close the connection if this side will do so after the response. It is called immediately before
// the response is written, because the VM may have begun to leave while the request ran.
func (rq *request) announceClose() {
	if inbound.AnnounceClose(rq.r) {
		rq.rw.Header()["Connection"] = []string{"close"}
	}
}

// currentRefusal returns a refusal that depends on the newest configuration. If the lease is not valid, the reason is
// reasonStale instead.
func currentRefusal(leaseValid bool, rs Reason) *refusal {
	if !leaseValid {
		return &refusal{reason: reasonStale, retryAfter: notReadyRetryAfter}
	}
	return &refusal{reason: rs}
}

// checkSize checks the request against the configured limits of sizes.
func (rq *request) checkSize() *refusal {
	lm := rq.table.Config.Limits
	if lm.MaxBodyBytes > 0 && rq.r.ContentLength > lm.MaxBodyBytes {
		return &refusal{reason: reasonBodyLarge}
	}
	if lm.MaxHeaderBytes > 0 && headerBytes(rq.r) > lm.MaxHeaderBytes {
		return &refusal{reason: reasonHeaderLarge}
	}
	return nil
}

// headerBytes returns the approximate size of the header on the wire.
func headerBytes(r *http.Request) int {
	const lineExtra = 4 // colon, space and line end
	num := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, vals := range r.Header {
		for _, val := range vals {
			num += len(name) + len(val) + lineExtra
		}
	}
	return num
}

// authorize finds the team of the request. API keys are accepted only while the lease is valid, because they may have been
// revoked since.
func (rq *request) authorize(leaseValid bool) *refusal {
	key := rq.caller.Key
	if key != "" && leaseValid {
		rq.team, _ = rq.table.Team(key)
	}
	switch {
	case rq.route.AllowAnonymous || rq.team != nil:
		return nil
	case !leaseValid:
		return &refusal{reason: reasonStale, retryAfter: notReadyRetryAfter}
	case key == "":
		return &refusal{reason: reasonNoKey}
	default:
		return &refusal{reason: reasonUnknownKey}
	}
}

// buildPlacement fills in the request to the placer.
func (rq *request) buildPlacement() {
	rq.placement = placement.Request{
		Pool: rq.sv.splits.choose(rq.route), Route: rq.route.Name, Urgent: rq.route.EffectivePriority(rq.team) <= maxUrgentPriority,
		Size: max(rq.r.ContentLength, 0), Objective: rq.route.LatencyObjective, Remaining: rq.timeLimit(),
	}
	if rq.route.Sticky || rq.caller.Object != "" {
		rq.placement.Object = rq.caller.Object
	}
	rt, tm := rq.route, rq.team
	rq.placement.Weight = 1
	if tm != nil {
		rq.placement.Team = tm.Name
	}
	if tm != nil && tm.Rate > 0 {
		rq.placement.Weight = fairness.Weight(tm.Rate)
	}
	if len(rt.Regions) > 0 || tm != nil && len(tm.Regions) > 0 {
		rq.placement.Allowed = regionFilter{rt, tm}.allowed
	}
}

// maxUrgentPriority is the least urgent priority whose requests may wait for the whole latency objective.
const maxUrgentPriority = routing.Priority(1)

// requestTarget returns the path and query as the caller sent them.
func requestTarget(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// regionFilter restricts a request to the regions that its route and team allow.
type regionFilter struct {
	route *routing.Route
	team  *routing.Team
}

func (rf regionFilter) allowed(rg id.Region) bool { return rf.route.RegionAllowed(rf.team, rg) }
