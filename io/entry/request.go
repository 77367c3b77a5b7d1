package entry

import (
	"context"
	"errors"
	"hash/maphash"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/dedup"
	"damasklatch/core/event"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
	"damasklatch/internal/logfield"
	"damasklatch/io/target"
)

// request is one request of a caller.
type request struct {
	sv      *Server
	vw      *view
	w       http.ResponseWriter
	r       *http.Request
	rc      *http.ResponseController
	started time.Time

	id       id.Request
	route    *config.Route // nil if none matches
	key      string
	team     id.Team
	home     id.Site
	body     *callerBody
	buffered []byte // the whole body, if it was read before the request was forwarded
	claim    *dedup.Claim
	aborted  bool
	slots    []*limit.Slots
	away     bool     // the home region is another one
	up, down *linkUse // links of the request and of its response
	draining bool
}

func (sv *Server) serveWork(w http.ResponseWriter, r *http.Request) {
	rq := &request{
		sv: sv, vw: sv.state.Load(), w: w, r: r, rc: http.NewResponseController(w), started: time.Now(), key: bearer(r.Header),
	}
	rq.draining = !sv.enter()
	defer rq.end()
	if rt, ok := rq.vw.route(r.URL.Path); ok {
		rq.route = rt
	}
	if r.ContentLength != 0 {
		rq.body = &callerBody{src: r.Body, rc: rq.rc, window: sv.op.ProgressWindow, left: rq.maxBody()}
	}
	rq.serve()
}

// serve decides about the request. A ticket is looked up in the table before any check, because a check must not
// report "not run" for work that is running or has run. This holds also if no route is known at the moment, as the
// route may have been known, or may be later.
func (rq *request) serve() {
	tickets := rq.r.Header[headerTicket]
	switch {
	case len(tickets) == 0:
		rq.id = newRequestID()
	case rq.idempotent():
		rq.id = newRequestID()
		if tk, err := rq.sv.op.Signer.Parse(tickets[0]); err == nil {
			rq.home = tk.HomeSite
		}
	case !rq.admitTicket(tickets):
		return
	}
	rq.findLinks()
	if rf := rq.check(); rf != nil {
		rq.refuse(rf)
		return
	}
	rq.record(event.KindRequestAdmitted, "")
	rq.forward()
}

func (rq *request) idempotent() bool { return rq.route != nil && rq.route.Idempotent }

func (rq *request) deadline() time.Duration {
	if rq.route == nil || rq.route.Deadline <= 0 {
		return defaultDeadline
	}
	return rq.route.Deadline
}

func (rq *request) maxBody() int64 {
	if rq.route == nil || rq.route.MaxBody <= 0 {
		return config.DefaultMaxBody
	}
	return rq.route.MaxBody
}

// admitTicket consults the table. If it returns false, the response has been written.
func (rq *request) admitTicket(tickets []string) bool {
	tk, err := rq.sv.op.Signer.Parse(tickets[0])
	if err != nil || len(tickets) > 1 {
		rq.id = newRequestID()
		rq.refuse(unknown(dedup.BadTicket))
		return false
	}
	rq.id, rq.home = tk.Request, tk.HomeSite
	switch dc := rq.sv.op.Table.Begin(rq.started, tk, rq.fingerprint()).(type) {
	case *dedup.Claim:
		rq.claim = dc
		return true
	case *dedup.Duplicate:
		rq.repeat(dc)
	case dedup.Reject:
		rq.refuse(unknown(dc.Reason))
	}
	return false
}

// fingerprint stands for the request that a ticket is used for.
func (rq *request) fingerprint() uint64 {
	var mh maphash.Hash
	mh.SetSeed(rq.sv.seed)
	for _, part := range []string{rq.r.Method, rq.r.URL.EscapedPath(), rq.r.URL.RawQuery} {
		mh.WriteString(part)
		mh.WriteByte(0)
	}
	return mh.Sum64()
}

// check makes all checks in the order of the design and takes what the request needs.
func (rq *request) check() *refusal {
	for _, ck := range [...]func(*request) *refusal{
		(*request).checkReady, (*request).checkRoute, (*request).checkKey, (*request).checkBody, (*request).takeShift,
		(*request).takeRate, (*request).checkLinks, (*request).takeSlots, (*request).recheckKey,
	} {
		if rf := ck(rq); rf != nil {
			return rf
		}
	}
	return nil
}

func (rq *request) checkReady() *refusal {
	switch {
	case rq.draining:
		return notRun(dedup.Leaving)
	case !rq.vw.Ready || rq.vw.Config == nil:
		return notRun(dedup.NotReady)
	}
	return nil
}

func (rq *request) checkRoute() *refusal {
	path := rq.r.URL.Path
	if !plainPath(path) || target.ContainsKey(path, rq.key) || rq.r.Method == http.MethodConnect || rq.r.Method == http.MethodTrace {
		return notRun(dedup.BadRequest)
	}
	if rq.route == nil {
		return notRun(dedup.NoRoute)
	}
	if !allows(rq.route, rq.r.Method) {
		rf := notRun(dedup.NoRoute)
		rf.status = http.StatusMethodNotAllowed
		return rf
	}
	if !rq.route.Idempotent && rq.claim == nil {
		return notRun(dedup.NoTicket)
	}
	return nil
}

// plainPath reports whether a path means the same to every server. A target that resolves dot segments or merges
// slashes would see another path than the one that the route and its permissions were chosen for.
func plainPath(path string) bool {
	if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "\\\x00") {
		return false
	}
	for seg := range strings.SplitSeq(path[1:], "/") {
		if seg == "." || seg == ".." {
			return false
		}
	}
	return !strings.Contains(path, "//")
}

func allows(rt *config.Route, method string) bool {
	for _, md := range rt.Methods {
		if md == method || md == http.MethodGet && method == http.MethodHead {
			return true
		}
	}
	return len(rt.Methods) == 0
}

// checkKey checks the key, the permission of its team, and how fresh the knowledge of keys is.
func (rq *request) checkKey() *refusal {
	if rq.route.Access == config.AccessOpen {
		return nil
	}
	team, reason := rq.identify()
	if reason != "" {
		return notRun(reason)
	}
	rq.team = team
	if rq.claim != nil {
		rq.claim.SetOwner(string(team))
	}
	tv, ok := rq.vw.teams[team]
	if !ok || !tv.routes[rq.route.Name] {
		return notRun(dedup.NotPermitted)
	}
	if !rq.vw.keysFresh(time.Now()) {
		return notRun(dedup.StaleKeys)
	}
	return nil
}

// recheckKey checks the key again after all waiting: a small body of idempotent work may have taken minutes to arrive,
// and its key may have been revoked meanwhile.
func (rq *request) recheckKey() *refusal {
	if rq.route.Access == config.AccessOpen {
		return nil
	}
	team, reason := rq.identify()
	switch {
	case reason != "":
		return notRun(reason)
	case team != rq.team:
		return notRun(dedup.UnknownKey)
	case !rq.sv.state.Load().keysFresh(time.Now()):
		return notRun(dedup.StaleKeys)
	}
	return nil
}

// identify returns the team of the key, by the keys in force now.
func (rq *request) identify() (id.Team, dedup.Reason) {
	if rq.key == "" {
		return "", dedup.NoKey
	}
	team, err := rq.sv.state.Load().Ring.Check(rq.key)
	if err != nil {
		return "", dedup.UnknownKey
	}
	return team, ""
}

// bearer returns the key of a request. More than one Authorization field gives none.
func bearer(hd http.Header) string {
	vals := hd["Authorization"]
	if len(vals) != 1 {
		return ""
	}
	scheme, key, _ := strings.Cut(vals[0], " ")
	if !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(key)
}

func (rq *request) checkBody() *refusal {
	if rq.r.ContentLength > rq.maxBody() {
		return notRun(dedup.BodyTooLarge)
	}
	return nil
}

// takeShift counts a request whose home is another region against the shift cap of this one.
func (rq *request) takeShift() *refusal {
	if rq.away && !rq.takeToken(rq.vw.shift) {
		return notRun(dedup.ShiftCap)
	}
	return nil
}

func (rq *request) takeRate() *refusal {
	if rq.route.Access == config.AccessOpen {
		return nil
	}
	if !rq.takeToken(rq.vw.teams[rq.team].resource) {
		return notRun(dedup.RateExceeded)
	}
	return nil
}

// takeToken takes a token. A resource without a bucket admits nothing.
func (rq *request) takeToken(rs id.Resource) bool {
	bk, ok := rq.sv.op.Limits.Bucket(rs)
	return ok && bk.Take(time.Now(), unit.One)
}

// takeSlots takes a slot of the region and one of the pool, after a small body of idempotent work was read: a slow
// caller does not hold slots then, and the body can be sent again.
func (rq *request) takeSlots() *refusal {
	if err := rq.buffer(); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return notRun(dedup.LinkFull)
		}
		return notRun(dedup.Canceled)
	}
	var reason dedup.Reason
	most := min(slotWait, rq.deadline()/4)
	if !rq.sv.line(rq.route.Pool).Take(rq.r.Context(), most, func() bool { reason = rq.trySlots(); return reason == "" }) {
		if reason == "" { // the line was full
			reason = dedup.NoTarget
		}
		return notRun(reason)
	}
	return nil
}

// trySlots takes both slots or none, and returns which one is missing.
func (rq *request) trySlots() dedup.Reason {
	region, ok := rq.sv.op.Limits.Slots(rq.vw.regionRes)
	if !ok || !region.Acquire() {
		return dedup.RegionFull
	}
	pool, ok := rq.sv.op.Limits.Slots(rq.vw.pools[rq.route.Pool])
	if !ok || !pool.Acquire() {
		region.Release()
		return dedup.NoTarget
	}
	rq.slots = []*limit.Slots{region, pool}
	return ""
}

// refuse stores the outcome, so that a duplicate of the ticket gets it too, and responds.
func (rq *request) refuse(rf *refusal) {
	rq.finish(rf.response())
	if rq.body != nil {
		rq.body.hurry()
	}
	rf.write(rq.w, string(rq.id))
}

// finish settles the outcome of the request.
func (rq *request) finish(rs dedup.Response) {
	now := time.Now()
	if rq.claim != nil {
		rq.claim.Finish(now, rs)
	}
	rq.sv.mt.request(rs.Outcome, rs.Reason, now.Sub(rq.started))
	kind := event.KindRequestDone
	switch rs.Outcome {
	case dedup.NotRun:
		kind = event.KindRequestNotRun
	case dedup.Unknown:
		kind = event.KindRequestUnknown
	case dedup.Done:
	}
	rq.record(kind, string(rs.Reason))
	rq.log(rs, now)
}

func (rq *request) record(kind event.Kind, detail string) {
	rq.sv.op.Recorder.Record(time.Now(), event.Event{Kind: kind, Request: rq.id, Team: rq.team, Detail: detail})
}

// log writes a line for requests with an unknown outcome, and with debugging for all.
func (rq *request) log(rs dedup.Response, now time.Time) {
	level := slog.LevelDebug
	if rs.Outcome == dedup.Unknown {
		level = slog.LevelInfo
	}
	ctx := context.Background()
	if !rq.sv.op.Log.Enabled(ctx, level) {
		return
	}
	route := ""
	if rq.route != nil {
		route = string(rq.route.Name)
	}
	rq.sv.op.Log.LogAttrs(ctx, level, "request",
		slog.String(logfield.RequestID, string(rq.id)), slog.String(logfield.Route, route),
		slog.String(logfield.Team, string(rq.team)), slog.String(logfield.Outcome, string(rs.Outcome)),
		slog.String(logfield.Reason, string(rs.Reason)), slog.Int64(logfield.Duration, now.Sub(rq.started).Milliseconds()))
}

// end returns what the request holds.
func (rq *request) end() {
	if rq.claim != nil { // counts only if a panic kept the request from its outcome
		rq.claim.Finish(time.Now(), unknown(dedup.ConnectionLost).response())
	}
	for _, sl := range rq.slots {
		sl.Release()
	}
	if rq.slots != nil {
		rq.sv.line(rq.route.Pool).Wake()
	}
	if rq.body != nil {
		rq.body.end(rq.aborted)
	}
	rq.sv.leave()
}
