package gateway

import (
	"context"
	"time"

	"damasklatch/core/placement"
)

// hedge is a request with up to two concurrent attempts.
type hedge struct {
	rq     *request
	done   chan *outcome
	cancel []context.CancelFunc
}

func (rc *hedge) run(ctx context.Context, ch *placement.Choice) { rc.done <- rc.rq.attempt(ctx, ch) }

// sendSecond makes a second attempt if there is a target and the retry budget allows it. It returns the first successful
// outcome, or the last one if both fail.
func (rc *hedge) sendSecond() *outcome {
	rq := rc.rq
	ch, rf := rq.sv.op.Placer.Pick(time.Now(), &rq.placement)
	if rf != nil {
		return rc.finish(<-rc.done)
	}
	if !rq.sv.op.Budget.Take(time.Now(), rq.placement.Pool) {
		rq.sv.op.Placer.Done(time.Now(), &ch, rq.route.Name, placement.Result{Kind: placement.Dropped})
		return rc.finish(<-rc.done)
	}
	rq.recordAttempt(&ch)
	ctx, cancel := context.WithCancel(rq.ctx)
	rc.cancel = append(rc.cancel, cancel)
	go rc.run(ctx, &ch)
	oc := <-rc.done
	if oc.kind != placement.Succeeded {
		oc.discard()
		oc = <-rc.done
		return rc.finish(oc)
	}
	go unusedAttempt{rc.done}.run()
	return rc.finish(oc)
}

// unusedAttempt is the attempt of a hedge whose response is not used.
type unusedAttempt struct{ done <-chan *outcome }

// run waits for the outcome and discards it. It may have a stream, which would keep its connection and its slot.
func (ua unusedAttempt) run() { (<-ua.done).discard() }

// finish cancels both attempts, but only after the body of the chosen response is closed if it is still being streamed.
func (rc *hedge) finish(oc *outcome) *outcome {
	if oc.stream != nil {
		oc.stream = &cancelOnClose{oc.stream, rc.cancelAll}
		return oc
	}
	rc.cancelAll()
	return oc
}

func (rc *hedge) cancelAll() {
	for _, cancel := range rc.cancel {
		cancel()
	}
}
