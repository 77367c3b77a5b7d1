package gateway

import (
	"log/slog"
	"slices"
	"sync"
	"time"
)

// runningRequests holds the requests of callers whose handler has not returned.
type runningRequests struct {
	mu       sync.Mutex
	requests map[*request]struct{}
}

func (rr *runningRequests) add(rq *request) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if rr.requests == nil {
		rr.requests = map[*request]struct{}{}
	}
	rr.requests[rq] = struct{}{}
}

func (rr *runningRequests) remove(rq *request) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	delete(rr.requests, rq)
}

func (rr *runningRequests) count() int {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	return len(rr.requests)
}

// oldest returns at most num requests, the longest running ones first.
func (rr *runningRequests) oldest(num int) []*request {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rqs := make([]*request, 0, len(rr.requests))
	for rq := range rr.requests {
		rqs = append(rqs, rq)
	}
	slices.SortFunc(rqs, func(aa, bb *request) int { return aa.started.Compare(bb.started) })
	return rqs[:min(num, len(rqs))]
}

// maxCutLines is the maximum number of requests that are logged one by one when the grace period ends. It is well below the number
// of lines that the log accepts within a second.
const maxCutLines = 50

// logCut logs the requests that are still running when the grace period ends.
func (sv *Server) logCut(log *slog.Logger) {
	num := sv.running.count()
	if num == 0 {
		return
	}
	log.Warn("requests are cut off by the end of the grace period", "count", num)
	for _, rq := range sv.running.oldest(maxCutLines) {
		log.Warn("request is cut off", "request_id", string(rq.caller.ID), "age_ms", time.Since(rq.started).Milliseconds(),
			"passed_on", rq.passedOn.Load())
	}
}

// awaitRequests waits until no request is running, at most for the given time.
func (sv *Server) awaitRequests(limit time.Duration) {
	const interval = 5 * time.Millisecond
	for end := time.Now().Add(limit); sv.running.count() > 0 && time.Now().Before(end); {
		time.Sleep(interval)
	}
}
