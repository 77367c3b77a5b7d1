package gateway

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/id"
	"damasklatch/core/place"
	"damasklatch/core/routing"
)

// bufferedBody is the largest body that is read before the request is placed. It can be sent again.
const bufferedBody = 512 << 10

// request is one request of a caller.
type request struct {
	sv      *Server
	rw      http.ResponseWriter
	r       *http.Request
	caller  RequestInfo
	started time.Time

	table  *routing.Table
	route  *routing.Route
	team   *routing.Team
	ask    place.Request
	body   []byte    // nil if there is none
	stream io.Reader // a body that is too large to be buffered
	ctx    context.Context

	attempts int
	last     place.Choice // of the last attempt, or the best one of a refusal
	region   id.Region    // of the targets, if none could take the request
	cause    error        // of the last attempt without a response
}

// ServeHTTP implements http.Handler.
func (sv *Server) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rq := &request{sv: sv, rw: rw, r: r, started: time.Now(), caller: sv.op.Codec.DecodeRequest(r.Header)}
	defer nextRequest(r)
	if sv.leaving.Load() {
		rw.Header()["Connection"] = []string{"close"}
	}
	if rf := rq.admit(); rf != nil {
		rq.refuse(rf)
		return
	}
	limit := rq.limit()
	ctx, cancel := context.WithDeadline(r.Context(), rq.started.Add(limit))
	defer cancel()
	rq.ctx = ctx
	rf := rq.readBody(limit)
	if rf == nil {
		rf = rq.forward()
	}
	if rf != nil {
		rq.refuse(rf)
	}
}

// limit returns the time within which the request must be answered.
func (rq *request) limit() time.Duration {
	if rq.caller.Deadline > 0 {
		return min(rq.caller.Deadline, rq.route.Timeout)
	}
	return rq.route.Timeout
}

// admit decides whether the request may be forwarded.
func (rq *request) admit() *refusal {
	rq.table = rq.sv.table.Load()
	held := rq.sv.op.Lease.Valid()
	if rq.table == nil {
		return &refusal{reason: reasonNoConfig, after: unreadyAfter}
	}
	if ambiguous(rq.r) {
		rq.rw.Header()["Connection"] = []string{"close"}
		return &refusal{reason: reasonBadRequest}
	}
	if rf := rq.checkSize(); rf != nil {
		return rf
	}
	rt, ok := rq.table.Match(rq.r.Host, rq.r.URL.EscapedPath())
	if !ok {
		return certain(held, reasonNoRoute)
	}
	rq.route = rt
	if rf := rq.authorize(held); rf != nil {
		return rf
	}
	rq.prepare()
	rq.sv.op.Placer.CountArrival(&rq.ask)
	if rq.team == nil {
		return nil
	}
	if wait, ok := rq.sv.op.Limiter.Take(rq.started, rq.team.Name); !ok {
		return &refusal{reason: reasonRate, after: wait}
	}
	return nil
}

// certain returns a refusal that only a VM with the newest configuration may give.
func certain(held bool, rs Reason) *refusal {
	if !held {
		return &refusal{reason: reasonStale, after: unreadyAfter}
	}
	return &refusal{reason: rs}
}

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

// authorize finds the team of the request. Work under a key needs the lease, because the key may have been withdrawn.
func (rq *request) authorize(held bool) *refusal {
	key := rq.caller.Key
	if key != "" && held {
		rq.team, _ = rq.table.Team(key)
	}
	switch {
	case rq.route.AllowAnonymous || rq.team != nil:
		return nil
	case !held:
		return &refusal{reason: reasonStale, after: unreadyAfter}
	case key == "":
		return &refusal{reason: reasonNoKey}
	default:
		return &refusal{reason: reasonUnknownKey}
	}
}

func (rq *request) prepare() {
	rq.ask = place.Request{
		Pool: rq.sv.splits.choose(rq.route), Route: rq.route.Name, Urgent: rq.route.EffectivePriority(rq.team) <= urgentRank,
		Size: max(rq.r.ContentLength, 0), Objective: rq.route.LatencyObjective, Remaining: rq.limit(),
	}
	if rq.route.Sticky || rq.caller.Object != "" {
		rq.ask.Object = rq.caller.Object
	}
	rt, tm := rq.route, rq.team
	if len(rt.Regions) > 0 || tm != nil && len(tm.Regions) > 0 {
		rq.ask.Allowed = regionFilter{rt, tm}.allowed
	}
}

// urgentRank is the least urgent priority whose work may wait for the whole latency objective.
const urgentRank = routing.Priority(1)

// readBody reads a body of moderate size.
func (rq *request) readBody(limit time.Duration) *refusal {
	if rq.r.ContentLength == 0 {
		return nil
	}
	// Connections that carry no deadline are those of tests.
	_ = http.NewResponseController(rq.rw).SetReadDeadline(rq.started.Add(limit))
	src := io.Reader(rq.r.Body)
	if most := rq.table.Config.Limits.MaxBodyBytes; most > 0 {
		src = http.MaxBytesReader(rq.rw, rq.r.Body, most)
	}
	buf := bytes.Buffer{}
	if size := rq.r.ContentLength; size > 0 && size <= bufferedBody {
		buf.Grow(int(size) + bytes.MinRead)
	}
	num, err := buf.ReadFrom(io.LimitReader(src, bufferedBody))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{reason: reasonBodyLarge}
	case err != nil:
		rq.rw.Header()["Connection"] = []string{"close"}
		return &refusal{reason: reasonBadRequest}
	}
	rq.body = buf.Bytes()
	rq.ask.Size = num
	if num == bufferedBody && rq.r.ContentLength != bufferedBody {
		rq.stream = io.MultiReader(bytes.NewReader(rq.body), src)
	}
	return nil
}

// pathOf returns the path and query as the caller sent them.
func pathOf(r *http.Request) string {
	if strings.HasPrefix(r.RequestURI, "/") {
		return r.RequestURI
	}
	return r.URL.RequestURI()
}

// regionFilter tells in which regions work may be done.
type regionFilter struct {
	route *routing.Route
	team  *routing.Team
}

func (rf regionFilter) allowed(rg id.Region) bool { return rf.route.RegionAllowed(rf.team, rg) }
