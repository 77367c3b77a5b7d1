package caller

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"damasklatch/internal/standin/record"
)

// duplicateMode determines whether and when an operation sends its ticket a second time.
type duplicateMode int

const (
	noDuplicate         duplicateMode = iota
	concurrentDuplicate               // together with the first request
	lateDuplicate                     // Work.LateAfter after the response to the first request
)

// finalReasons are the reasons of a not_run response that every other entry VM would return too. A retry is useless.
var finalReasons = []string{"no_key", "unknown_key", "not_permitted", "no_route", "body_too_large", "bad_request"}

// operation is a request of a caller with all its attempts. The attempts may go to several entry VMs.
type operation struct {
	rn            *Runner
	tm            *Team
	wk            *Work
	client        netip.Addr
	firstEntry    int  // index in Scenario.Entries, modulo its length, at which look-ups begin
	trailer       bool // a download sends its checksum in a trailer
	duplicateMode duplicateMode
	slots         chan struct{} // limits the operations in flight of an open loop; nil in a closed loop

	mu  sync.Mutex // guards rec.Tries and rec.Target, which a concurrent duplicate changes too
	rec record.Operation
}

// run carries out an operation of an open loop in its own goroutine and then frees its slot.
func (op *operation) run(opCtx, _ context.Context) {
	defer op.rn.running.Done()
	op.do(opCtx)
	<-op.slots
}

// do sends the request until it is answered, a retry is useless or unsafe, or MaxTries is reached. Then it records the
// operation.
func (op *operation) do(ctx context.Context) {
	ck := cacheKey{route: op.wk.Route, client: op.client}
	for len(op.rec.Tries) < op.rn.sc.MaxTries {
		lr, err := op.rn.lookup(ctx, ck, op.firstEntry, !op.wk.Idempotent)
		if err != nil {
			if len(op.rec.Tries) == 0 {
				op.rec.Outcome, op.rec.Reason = record.NotRun, record.ReasonNoEntry
			}
			break
		}
		op.rec.Generation = lr.Generation
		if op.tryEntries(ctx, lr.Entries) {
			break
		}
		op.rn.cache.drop(ck)
		op.firstEntry++
		if op.rec.Reason != record.ReasonDial {
			break // every entry was tried, and a new look-up helps only if entries could not be reached
		}
	}
	op.finish()
}

// tryEntries sends the request to the entries in order and reports whether the operation has ended.
func (op *operation) tryEntries(ctx context.Context, ens []entry) bool {
	for _, en := range ens {
		if len(op.rec.Tries) >= op.rn.sc.MaxTries || ctx.Err() != nil {
			return true
		}
		tr := op.send(ctx, en)
		op.applyOutcome(tr)
		switch {
		case tr.Outcome == record.Answered, slices.Contains(finalReasons, tr.Reason):
			return true
		case tr.Outcome == record.Unknown && !op.wk.Idempotent:
			return true
		}
	}
	return false
}

// applyOutcome makes the outcome of the latest attempt the outcome of the operation. Only not_run does not replace unknown:
// if an earlier attempt of idempotent work ended with unknown, the work may have run even if a later one did not.
func (op *operation) applyOutcome(tr record.Try) {
	if tr.Outcome == record.NotRun && op.rec.Outcome == record.Unknown {
		return
	}
	op.rec.Outcome, op.rec.Status, op.rec.Reason, op.rec.RequestID = tr.Outcome, tr.Status, tr.Reason, tr.RequestID
	op.rec.ChecksumOK = tr.Outcome == record.Answered && !tr.Incomplete && !tr.Crossed
}

// send sends the request to an entry VM and, depending on duplicateMode, a duplicate of a non-idempotent request.
// It returns the attempt that is not the duplicate.
func (op *operation) send(ctx context.Context, en entry) record.Try {
	if op.duplicateMode == noDuplicate || op.wk.Idempotent {
		return op.addTry(op.try(ctx, en, false))
	}
	dp := &duplicate{op: op, en: en, done: make(chan struct{})}
	if op.duplicateMode == concurrentDuplicate {
		go dp.run(ctx)
	}
	tr := op.addTry(op.try(ctx, en, false))
	if op.duplicateMode == lateDuplicate {
		if sleepUntil(ctx, time.Now().Add(op.wk.LateAfter)) {
			dp.run(ctx)
		}
		return tr
	}
	<-dp.done
	return tr
}

// duplicate sends a request with the same ticket a second time. The channel done is closed when it has ended.
type duplicate struct {
	op   *operation
	en   entry
	done chan struct{}
}

// run sends the request again and records the attempt. Its response does not change the outcome of the operation.
func (dp *duplicate) run(ctx context.Context) {
	defer close(dp.done)
	dp.op.addTry(dp.op.try(ctx, dp.en, true))
}

// addTry appends an attempt to the record and returns it.
func (op *operation) addTry(tr record.Try) record.Try {
	op.mu.Lock()
	defer op.mu.Unlock()
	op.rec.Tries = append(op.rec.Tries, tr)
	return tr
}

// finishUntried records an operation for which no request was sent.
func (op *operation) finishUntried(oc record.Outcome, reason string) {
	op.rec.Outcome, op.rec.Reason = oc, reason
	op.finish()
}

// finish writes the record. The operation ends with its last attempt that is no duplicate, so that a late duplicate does
// not add to the latency.
func (op *operation) finish() {
	op.rec.EndedAt = time.Now().UnixNano()
	for _, tr := range slices.Backward(op.rec.Tries) {
		if !tr.Duplicate {
			op.rec.EndedAt = tr.EndedAt
			break
		}
	}
	op.rn.records.Add(op.rec)
}
