package limit

import (
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// Peek returns the usable amount at the given time. It works on a copy, so that the oracle does not advance the
// bucket.
func (bk *Bucket) Peek(now time.Time) Amount {
	cp := &Bucket{
		own: bk.own, loans: slices.Clone(bk.loans), limit: bk.limit, last: bk.last, tokens: bk.tokens,
		remainder: bk.remainder,
	}
	return cp.snapshot(now).usable
}

// Limit returns the current number of slots.
func (sl *Slots) Limit() unit.Milli { return sl.limit }

// Acceptable returns by how much the usable amount of each resource would grow if the reply arrived now.
func (lg *Ledger) Acceptable(now time.Time, rp BorrowReply) map[id.Resource]Amount {
	extra := make(map[id.Resource]Amount)
	for _, gr := range rp.Grants {
		ac, ok := lg.buckets[gr.Resource]
		if !ok || !ac.present || lg.leaving {
			continue
		}
		cv, ok := ac.conversations[rp.Lender]
		if !ok || !cv.pending || cv.sequence != gr.Sequence || !cv.sent.Add(gr.Lifetime).After(now) {
			continue
		}
		am := gr.Granted
		for _, ln := range ac.bucket.loans {
			if ln.lender == rp.Lender && ln.expiry.After(now) {
				am = am.minus(ln.amount)
			}
		}
		am.Tokens = gr.Granted.Tokens
		extra[gr.Resource] = am
	}
	return extra
}

// CountFromReply injects a fault for tests of the oracle: the duration of loans from the lender counts from now
// instead of from the request.
func (lg *Ledger) CountFromReply(now time.Time, lender id.VMIncarnation) {
	for _, ac := range lg.buckets {
		for nr, ln := range ac.bucket.loans {
			if ln.lender == lender {
				ac.bucket.loans[nr].expiry = now.Add(lg.settings.LoanDuration)
			}
		}
		slices.SortFunc(ac.bucket.loans, func(ln, ot loan) int { return ln.expiry.Compare(ot.expiry) })
	}
}

// AcceptAny injects a fault for tests of the oracle: the next reply of the lender is accepted, whichever item it
// answers.
func (lg *Ledger) AcceptAny(rp BorrowReply) {
	for _, gr := range rp.Grants {
		if ac, ok := lg.buckets[gr.Resource]; ok {
			if cv, ok := ac.conversations[rp.Lender]; ok {
				cv.sequence, cv.pending = gr.Sequence, true
			}
		}
	}
}

// ForgetAt injects a fault for tests of the oracle: what is lent to the borrower counts only until the given time.
func (lg *Ledger) ForgetAt(borrower id.VMIncarnation, until time.Time) {
	for _, ac := range lg.buckets {
		if db, ok := ac.debits[borrower]; ok {
			db.heldUntil, db.grantedUntil = until, until
		}
	}
}
