package gateway

import (
	"context"
	"time"

	"damasklatch/core/place"
)

// race is two attempts at the same time.
type race struct {
	rq     *request
	done   chan *outcome
	cancel []context.CancelFunc
}

func (rc *race) run(ctx context.Context, ch *place.Choice) { rc.done <- rc.rq.attempt(ctx, ch) }

// second makes a second attempt if a target and the budget allow it, and returns the first good outcome.
func (rc *race) second() *outcome {
	rq := rc.rq
	ch, rf := rq.sv.op.Placer.Pick(time.Now(), &rq.ask)
	if rf != nil {
		return rc.won(<-rc.done)
	}
	if !rq.sv.op.Budget.Take(time.Now(), rq.ask.Pool) {
		rq.sv.op.Placer.Done(time.Now(), &ch, rq.route.Name, place.Result{Kind: place.Dropped})
		return rc.won(<-rc.done)
	}
	rq.note(&ch)
	ctx, cancel := context.WithCancel(rq.ctx)
	rc.cancel = append(rc.cancel, cancel)
	go rc.run(ctx, &ch)
	oc := <-rc.done
	if oc.kind != place.Succeeded {
		oc.discard()
		oc = <-rc.done
		return rc.won(oc)
	}
	rc.won(oc)
	return oc
}

// won ends the attempts. The response that was taken is closed with its own attempt.
func (rc *race) won(oc *outcome) *outcome {
	if oc.rest != nil {
		oc.rest = &canceling{oc.rest, rc.end}
		return oc
	}
	rc.end()
	return oc
}

func (rc *race) end() {
	for _, cancel := range rc.cancel {
		cancel()
	}
}
