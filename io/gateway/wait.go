package gateway

import (
	"time"

	"damasklatch/core/placement"
)

// waitStep is the interval at which a request that waits for the end of a pause tries again, because another target may have come.
const waitStep = 100 * time.Millisecond

// waitForTarget waits for a target if all targets of a refused request pause and the request can wait for the first of them. It
// returns a refusal if it gets none.
func (rq *request) waitForTarget(rf *placement.Refusal) (placement.Choice, *placement.Refusal) {
	pc := rq.sv.op.Placer
	if !rf.Paused || !pc.BeginWait(time.Now(), &rq.placement, rq.remaining()) {
		return placement.Choice{}, rf
	}
	defer pc.EndWait(rq.placement.Pool)
	for rf.Paused && rf.RetryAfter < rq.remaining() {
		tm := time.NewTimer(min(rf.RetryAfter, waitStep))
		select {
		case <-rq.ctx.Done():
			tm.Stop()
			return placement.Choice{}, rf
		case <-tm.C:
		}
		ch, next := pc.Pick(time.Now(), &rq.placement)
		if next == nil {
			return ch, nil
		}
		rf = next
	}
	return placement.Choice{}, rf
}

// remaining returns the time until the deadline of the request.
func (rq *request) remaining() time.Duration { return time.Until(rq.started.Add(rq.timeLimit())) }

// refusalOf returns the refusal of a request that no target has run, according to its last attempt. If all targets pause, the caller
// may return at the end of the first pause.
func (rq *request) refusalOf(oc *outcome) *refusal {
	rf := oc.refusal
	if rf.retryAfter > 0 {
		rf.retryAfter = max(rf.retryAfter, rq.sv.op.Placer.PoolPause(time.Now(), &rq.placement))
	}
	return &rf
}
