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
	"damasklatch/io/inbound"
	"damasklatch/io/target"
)

// request is the state of one request of a caller while it is served.
type request struct {
	sv      *Server
	vw      *view
	w       http.ResponseWriter
	r       *http.Request
	rc      *http.ResponseController
	started time.Time

	id               id.Request
	route            *config.Route // nil if no route matches the path
	key              string
	team             id.Team
	homeSite         id.Site
	body             *callerBody
	buffered         []byte // the complete body, if it was read before the request is forwarded
	claim            *dedup.Claim
	aborted          bool
	slots            []*limit.Slots
	fromOtherRegion  bool     // the caller's home region is not the region of this VM
	uplink, downlink *linkUse // use of the links that the request and its response cross
	draining         bool
}

func (sv *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	rq := &request{
		sv: sv, vw: sv.state.Load(), w: w, r: r, rc: http.NewResponseController(w), started: time.Now(), key: bearer(r.Header),
	}
	rq.draining = !sv.beginRequest()
	defer rq.release()
	if rt, ok := rq.vw.route(r.URL.Path); ok {
		rq.route = rt
	}
	if r.ContentLength != 0 {
		rq.body = &callerBody{src: r.Body, rc: rq.rc, progressWindow: sv.op.ProgressWindow, remaining: rq.maxBody()}
	}
	rq.serve()
}

// serve checks the request and then refuses or forwards it. It looks the ticket up in the table of requests before all
// other checks, so that no check reports "not run" for a request that is running or has run. It does so even if no route
// matches, because a route may have matched when the ticket was used first, or may match when it is used again.
func (rq *request) serve() {
	tickets := rq.r.Header[headerTicket]
	switch {
	case len(tickets) == 0:
		rq.id = newRequestID()
	case rq.idempotent():
		rq.id = newRequestID()
		if tk, err := rq.sv.op.Signer.Parse(tickets[0]); err == nil {
			rq.homeSite = tk.HomeSite
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
	if rq.route == nil || rq.route.MaxBodyBytes <= 0 {
		return config.DefaultMaxBodyBytes
	}
	return rq.route.MaxBodyBytes
}

// admitTicket looks the ticket up in the table of requests and claims it if it is unused. If admitTicket returns false, it
// has written the response.
func (rq *request) admitTicket(tickets []string) bool {
	tk, err := rq.sv.op.Signer.Parse(tickets[0])
	if err != nil || len(tickets) > 1 {
		rq.id = newRequestID()
		rq.refuse(unknown(dedup.BadTicket))
		return false
	}
	rq.id, rq.homeSite = tk.Request, tk.HomeSite
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

// fingerprint returns a hash of the method, path and query. It detects that a ticket is used for another request.
func (rq *request) fingerprint() uint64 {
	var mh maphash.Hash
	mh.SetSeed(rq.sv.seed)
	for _, part := range []string{rq.r.Method, rq.r.URL.EscapedPath(), rq.r.URL.RawQuery} {
		mh.WriteString(part)
		mh.WriteByte(0)
	}
	return mh.Sum64()
}

// check runs all checks in their required order and takes the tokens and slots that the request needs. It returns nil if
// the request may be forwarded.
func (rq *request) check() *refusal {
	for _, ck := range [...]func(*request) *refusal{
		(*request).checkFraming, (*request).checkReady, (*request).checkRoute, (*request).checkKey, (*request).checkBody, (*request).takeShiftToken,
		(*request).takeRateToken, (*request).checkLinks, (*request).takeSlots, (*request).recheckKey,
	} {
		if rf := ck(rq); rf != nil {
			return rf
		}
	}
	return nil
}

// checkFraming refuses a request whose end is ambiguous, and closes its connection. What follows may have been meant as its body.
func (rq *request) checkFraming() *refusal {
	if inbound.CheckFraming(rq.r) == nil {
		return nil
	}
	rq.w.Header()["Connection"] = []string{"close"}
	return notRun(dedup.BadRequest)
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
	if !isPlainPath(path) || target.ContainsKey(path, rq.key) || rq.r.Method == http.MethodConnect || rq.r.Method == http.MethodTrace {
		return notRun(dedup.BadRequest)
	}
	if rq.route == nil {
		return notRun(dedup.NoRoute)
	}
	if !allowsMethod(rq.route, rq.r.Method) {
		rf := notRun(dedup.NoRoute)
		rf.status = http.StatusMethodNotAllowed
		return rf
	}
	if !rq.route.Idempotent && rq.claim == nil {
		return notRun(dedup.NoTicket)
	}
	return nil
}

// isPlainPath reports whether every server interprets the path in the same way. A target that resolves dot segments or
// merges slashes would use another path than the one that the route and its permissions were checked for.
func isPlainPath(path string) bool {
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

// allowsMethod reports whether the route allows the method. A route without methods allows all.
func allowsMethod(rt *config.Route, method string) bool {
	for _, md := range rt.Methods {
		if md == method || md == http.MethodGet && method == http.MethodHead {
			return true
		}
	}
	return len(rt.Methods) == 0
}

// checkKey checks that the key is valid, that its team may use the route, and that the information about revoked keys is
// recent enough.
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

// recheckKey checks the key again after all waits. The small body of an idempotent request may take minutes to arrive,
// and the key may have been revoked in that time.
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

// identify returns the team that the key belongs to according to the current keys, or the reason why there is none.
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

// bearer returns the key in the Authorization field, or "" if there is none or more than one field.
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

// takeShiftToken takes a token from the shift cap, which limits the requests that this region serves for callers of other
// regions.
func (rq *request) takeShiftToken() *refusal {
	if rq.fromOtherRegion && !rq.takeToken(rq.vw.shiftResource) {
		return notRun(dedup.ShiftCap)
	}
	return nil
}

func (rq *request) takeRateToken() *refusal {
	if rq.route.Access == config.AccessOpen {
		return nil
	}
	if !rq.takeToken(rq.vw.teams[rq.team].resource) {
		return notRun(dedup.RateExceeded)
	}
	return nil
}

// takeToken takes one token from the bucket of the resource and reports whether it got one. A resource without a bucket
// admits nothing.
func (rq *request) takeToken(rs id.Resource) bool {
	bk, ok := rq.sv.op.Limits.Bucket(rs)
	return ok && bk.Take(time.Now(), unit.One)
}

// takeSlots takes a slot of the region and one of the pool. It reads the small body of an idempotent request first, so
// that a slow caller holds no slots and the body can be sent again in a retry.
func (rq *request) takeSlots() *refusal {
	if err := rq.bufferBody(); err != nil {
		if errors.Is(err, context.DeadlineExceeded) {
			return notRun(dedup.LinkFull)
		}
		return notRun(dedup.Canceled)
	}
	var reason dedup.Reason
	maxWait := min(maxSlotWait, rq.deadline()/4)
	if !rq.sv.queue(rq.route.Pool).Acquire(rq.r.Context(), maxWait, func() bool { reason = rq.trySlots(); return reason == "" }) {
		if reason == "" { // the queue was full
			reason = dedup.NoTarget
		}
		return notRun(reason)
	}
	return nil
}

// trySlots takes both slots or none. It returns the reason if a slot is missing, and "" otherwise.
func (rq *request) trySlots() dedup.Reason {
	region, ok := rq.sv.op.Limits.Slots(rq.vw.regionResource)
	if !ok || !region.Acquire() {
		return dedup.RegionFull
	}
	pool, ok := rq.sv.op.Limits.Slots(rq.vw.poolResources[rq.route.Pool])
	if !ok || !pool.Acquire() {
		region.Release()
		return dedup.NoTarget
	}
	rq.slots = []*limit.Slots{region, pool}
	return ""
}

// refuse stores the refusal, so that duplicates of the request get the same outcome, and writes it to the caller.
func (rq *request) refuse(rf *refusal) {
	rq.finish(rf.response())
	if rq.body != nil {
		rq.body.limitRestTime()
	}
	rf.write(rq.w, rq.r, string(rq.id))
}

// finish stores the outcome of the request for duplicates, and records it in the metrics, the events and the log.
func (rq *request) finish(rs dedup.Response) {
	now := time.Now()
	if rq.claim != nil {
		rq.claim.Finish(now, rs)
	}
	rq.sv.mt.countRequest(rs.Outcome, rs.Reason, now.Sub(rq.started))
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

// log writes a log line for the request: at level info if the outcome is unknown, otherwise at level debug.
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

// release gives back the slots and ends the reading of the body. If the request has no outcome yet, it stores one.
func (rq *request) release() {
	if rq.claim != nil { // has an effect only if a panic prevented an outcome
		rq.claim.Finish(time.Now(), unknown(dedup.ConnectionLost).response())
	}
	for _, sl := range rq.slots {
		sl.Release()
	}
	if rq.slots != nil {
		rq.sv.queue(rq.route.Pool).Wake()
	}
	if rq.body != nil {
		rq.body.end(rq.aborted)
	}
	rq.sv.endRequest()
}
