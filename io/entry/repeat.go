package entry

import (
	"context"
	"net/http"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/dedup"
	"damasklatch/core/event"
)

// repeat responds to a duplicate, a request whose ticket was used before. It waits for the outcome of the first request
// and returns that.
func (rq *request) repeat(dp *dedup.Duplicate) {
	rq.findLinks()
	if rf := rq.mayRepeat(); rf != nil {
		rq.refuse(rf)
		return
	}
	select {
	case <-dp.Done():
	case <-rq.r.Context().Done():
		rq.refuse(unknown(dedup.Canceled))
		return
	}
	// The key may have been revoked during the wait.
	if rf := rq.mayRepeat(); rf != nil {
		rq.refuse(rf)
		return
	}
	owner, rs := dp.Result()
	if owner != "" && owner != string(rq.team) {
		rf := unknown(dedup.UnknownKey)
		rf.text = "the ticket was used by another team"
		rq.refuse(rf)
		return
	}
	rq.replay(rs)
}

// mayRepeat checks the key of a duplicate. It returns nil if the key is valid. Every refusal has the outcome "unknown",
// because the first request may have run.
func (rq *request) mayRepeat() *refusal {
	if rq.route != nil && rq.route.Access == config.AccessOpen {
		return nil
	}
	team, reason := rq.identify()
	switch {
	case reason != "":
		return unknown(reason)
	case !rq.sv.state.Load().keysFresh(time.Now()):
		return unknown(dedup.StaleKeys)
	}
	rq.team = team
	return nil
}

// replay writes a stored response to the caller.
func (rq *request) replay(rs dedup.Response) {
	rq.record(event.KindRequestDone, "duplicate: "+string(rs.Outcome))
	rq.sv.mt.duplicates.Inc(1)
	if rs.Outcome != dedup.Done || !rs.Stored {
		reason := rs.Reason
		if rs.Outcome == dedup.Done {
			reason = dedup.ResponseNotStored
		}
		rf := newRefusal(rs.Outcome, reason)
		if rs.Outcome != dedup.Done {
			rf.status = rs.Status
		}
		rf.write(rq.w, rq.r, string(rq.id))
		return
	}
	// The stored response crosses the link again, so its bytes count against the link again. A duplicate can't be
	// refused as "not run", so it waits for the link until the deadline.
	ctx, cancel := context.WithTimeout(rq.r.Context(), rq.deadline())
	defer cancel()
	if _, err := rq.downlink.takeBytes(ctx, headerBytes(rs.Header)); err != nil {
		unknown(dedup.Timeout).write(rq.w, rq.r, string(rq.id))
		return
	}
	hd := rq.w.Header()
	for name, vals := range rs.Header {
		hd[name] = vals
	}
	hd[headerOutcome] = []string{string(dedup.Done)}
	hd[headerRequest] = []string{string(rq.id)}
	for name := range rs.Trailer {
		hd.Add("Trailer", name)
	}
	announceClose(rq.w, rq.r)
	rq.w.WriteHeader(rs.Status)
	for src := rs.Body; len(src) > 0; {
		num := min(len(src), rq.downlink.chunkSize())
		if _, err := rq.downlink.takeBytes(ctx, num); err != nil {
			rq.abort()
		}
		if _, err := rq.w.Write(src[:num]); err != nil {
			rq.abort()
		}
		src = src[num:]
	}
	for name, vals := range rs.Trailer {
		hd[http.TrailerPrefix+name] = vals
	}
}
