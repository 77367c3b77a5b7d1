package limit

import (
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// debit is what a lender counts as lent to one borrower. The borrower may use held, which comes from earlier grants,
// until heldUntil, and granted, which comes from the latest grant, until grantedUntil. While both apply, the larger
// rate and burst count.
type debit struct {
	sequence     uint64 // of the latest item received
	held         Amount
	heldUntil    time.Time
	granted      Amount
	grantedUntil time.Time
	wanted       Amount // in the latest item
	wantedAt     time.Time
}

// amountAt returns the amount that the borrower may be using at the given time.
func (db *debit) amountAt(now time.Time) Amount {
	var am Amount
	if db.heldUntil.After(now) {
		am = am.atLeast(db.held)
	}
	if db.grantedUntil.After(now) {
		am = am.atLeast(db.granted)
	}
	return am
}

// end returns the time from which nothing is lent.
func (db *debit) end() time.Time {
	if db.heldUntil.After(db.grantedUntil) {
		return db.heldUntil
	}
	return db.grantedUntil
}

// lent returns the sum of the debits.
func (ac *account) lent(now time.Time) Amount { return ac.lentExcept(now, nil) }

// lentExcept returns the sum of the debits other than one.
func (ac *account) lentExcept(now time.Time, except *debit) Amount {
	var sum Amount
	for _, db := range ac.debits {
		if db != except {
			sum = sum.plus(db.amountAt(now))
		}
	}
	return sum
}

// updateBucket sets the bucket to what is owned and not lent, after it removes the tokens that are sent with a loan.
func (ac *account) updateBucket(now time.Time, remove unit.Milli) {
	ac.bucket.setOwn(now, ac.owned.minus(ac.lent(now)), remove)
}

// expireDebits deletes debits that have ended, including their sequence numbers. A late duplicate of a request can
// then create a debit again, which costs the lender that capacity for one loan duration. The borrower gains nothing,
// because it ignores the reply.
func (ac *account) expireDebits(now time.Time) {
	for vm, db := range ac.debits {
		if !db.end().After(now) && now.Sub(db.wantedAt) > wantedTTL {
			delete(ac.debits, vm)
		}
	}
	ac.updateBucket(now, 0)
}

// wantedTTL is how long the wanted amount of a borrower counts in the division among borrowers. With 600 ms and more,
// lenders kept capacity for borrowers that had already found it elsewhere, which caused wrongful refusals in the skew
// experiment.
const wantedTTL = 300 * time.Millisecond

// HandleRequest answers a request of a peer. A request to an earlier incarnation of this VM gets no grants, because
// this incarnation has lent nothing to the borrower.
func (lg *Ledger) HandleRequest(now time.Time, rq BorrowRequest) BorrowReply {
	rp := BorrowReply{Lender: lg.self}
	if rq.Lender != lg.self || rq.Borrower == lg.self {
		return rp
	}
	for _, it := range rq.Items {
		if gr, ok := lg.handleItem(now, rq.Borrower, it); ok {
			rp.Grants = append(rp.Grants, gr)
		}
	}
	return rp
}

// handleItem answers one item. It returns false for an item that is not newer than the latest one of the borrower.
func (lg *Ledger) handleItem(now time.Time, borrower id.VMIncarnation, it BorrowItem) (Grant, bool) {
	ac, ok := lg.buckets[it.Resource]
	if !ok {
		return Grant{Resource: it.Resource, Sequence: it.Sequence}, true
	}
	db, ok := ac.debits[borrower]
	if !ok {
		db = new(debit)
		ac.debits[borrower] = db
	}
	if it.Sequence <= db.sequence {
		return Grant{}, false
	}
	db.sequence, db.wanted, db.wantedAt = it.Sequence, it.Wanted.nonNegative(), now
	return lg.grant(now, ac, db, it), true
}

// grant decides on an item that is newer than all earlier items of the borrower. The borrower ignores replies to
// earlier items. Until it receives the reply to this item, it uses at most what it reported as held.
func (lg *Ledger) grant(now time.Time, ac *account, db *debit, it BorrowItem) Grant {
	held, heldUntil := it.Held.nonNegative().atMost(db.amountAt(now)), db.end()
	gr := Grant{Resource: it.Resource, Sequence: it.Sequence, Lifetime: lg.settings.LoanDuration}
	if !lg.leaving && ac.present {
		gr.Granted = ac.lendable(now, db)
	}
	db.held, db.heldUntil = held, heldUntil
	db.granted, db.grantedUntil = gr.Granted, now.Add(lg.settings.ReuseAfter())
	if gr.Granted.isZero() {
		db.grantedUntil = time.Time{}
	}
	gr.Granted.Tokens = ac.loanTokens(now, db)
	ac.updateBucket(now, gr.Granted.Tokens)
	if !lg.leaving && ac.present {
		gr.Spare = ac.spare(now)
	}
	return gr
}

// lendable returns the amount to lend to the borrower: at most what it wants, what is not lent to others, and its
// part in a max-min fair division among all borrowers.
func (ac *account) lendable(now time.Time, db *debit) Amount {
	free := ac.owned.minus(ac.reserve())
	am := db.wanted.atMost(free.minus(ac.lentExcept(now, db)))
	rates, bursts := []int64{int64(db.wanted.Rate)}, []int64{int64(db.wanted.Burst)}
	for _, ot := range ac.debits {
		if ot != db && now.Sub(ot.wantedAt) <= wantedTTL {
			rates, bursts = append(rates, int64(ot.wanted.Rate)), append(bursts, int64(ot.wanted.Burst))
		}
	}
	fair := Amount{
		Rate:  unit.MilliPerSecond(maxMinShare(int64(free.Rate), rates)),
		Burst: unit.Milli(maxMinShare(int64(free.Burst), bursts)),
	}
	return am.atMost(fair)
}

// maxMinShare returns the part of the first of the wanted amounts in a max-min fair division of total.
func maxMinShare(total int64, wants []int64) int64 {
	own := wants[0]
	sorted := slices.Sorted(slices.Values(wants))
	for nr, wt := range sorted {
		level := total / int64(len(sorted)-nr)
		if wt >= level {
			return min(own, level)
		}
		total -= wt
		if wt == own {
			break
		}
	}
	return own
}

// loanTokens returns the number of tokens to send with the loan: those that the lender's bucket could no longer hold,
// and more if the borrower lacks them and the lender does not. The number is at most the growth of the borrower's
// burst, because nobody else may fill the capacity that the tokens in the message need.
func (ac *account) loanTokens(now time.Time, db *debit) unit.Milli {
	growth := db.granted.Burst - min(db.held.Burst, db.amountAt(now).Burst)
	if growth <= 0 {
		return 0
	}
	tokens := ac.bucket.snapshot(now).usable.Tokens
	left := ac.owned.minus(ac.lent(now)).Burst
	carried := max(tokens-left, min(db.wanted.Tokens, tokens-ac.reserve().Burst))
	return max(min(carried, growth, tokens), 0)
}

// spare returns what this VM could still lend.
func (ac *account) spare(now time.Time) Amount {
	return ac.owned.minus(ac.reserve()).minus(ac.lent(now))
}

// A lender without demand keeps 1/idleRateDivisor of its rate and 1/idleBurstDivisor of its burst, so that it admits
// the first requests after an idle period.
const (
	idleRateDivisor  = 64
	idleBurstDivisor = 16
)

// reserve returns the part of the owned amount that the VM keeps for its own demand.
func (ac *account) reserve() Amount {
	idle := Amount{
		Rate:  ac.owned.Rate / idleRateDivisor,
		Burst: max(ac.owned.Burst/idleBurstDivisor, unit.One),
	}
	return ac.demand.reserve().atLeast(idle).atMost(ac.owned)
}
