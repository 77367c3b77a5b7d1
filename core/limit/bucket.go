package limit

import (
	"math"
	"math/bits"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/unit"
)

// Bucket is a token bucket over what a VM owns, has not lent, and has borrowed. It is safe for concurrent use.
type Bucket struct {
	mu    sync.Mutex
	own   Amount // owned and not lent
	loans []loan // ordered by expiry
	limit Amount // own and loans
	last  time.Time
	// tokens and remainder are the tokens at the moment last; the remainder is in nano-milli-tokens, so that frequent
	// calls lose nothing to rounding.
	tokens    unit.Milli
	remainder uint64
	use       usage // since the last call of collect
	admitted  unit.Milli
	refused   unit.Milli
}

// loan is a borrowed amount that counts until expiry.
type loan struct {
	lender id.VMIncarnation
	amount Amount
	expiry time.Time
}

// usage is what was asked of a bucket.
type usage struct {
	admitted unit.Milli
	refused  unit.Milli
	largest  unit.Milli // largest single call
}

// Take removes n tokens and reports whether that many were present. A call whose time is before that of an earlier
// call counts as made at the same moment as that call.
func (bk *Bucket) Take(now time.Time, n unit.Milli) bool {
	if n < 0 {
		return false
	}
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	bk.use.largest = max(bk.use.largest, n)
	if n > bk.tokens {
		bk.use.refused += n
		bk.refused += n
		return false
	}
	bk.tokens -= n
	bk.use.admitted += n
	bk.admitted += n
	return true
}

// TakeOrWait removes n tokens if that many are present. Otherwise it returns the time after which they will be, by the
// present rate, or a negative time if the bucket can never hold n tokens with what it has now. Unlike a call of Take
// that fails, waiting is no refusal.
func (bk *Bucket) TakeOrWait(now time.Time, n unit.Milli) time.Duration {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	wait := bk.waitTime(n)
	if wait == 0 {
		bk.tokens -= n
		bk.use.admitted += n
		bk.admitted += n
	}
	return wait
}

// WaitTime returns what TakeOrWait would, and takes nothing.
func (bk *Bucket) WaitTime(now time.Time, n unit.Milli) time.Duration {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	return bk.waitTime(n)
}

func (bk *Bucket) waitTime(n unit.Milli) time.Duration {
	if n <= bk.tokens {
		return 0
	}
	if n > bk.limit.Burst || bk.limit.Rate <= 0 {
		return -1
	}
	hi, lo := bits.Mul64(uint64(n-bk.tokens), nanosPerSecond)
	lo, borrow := bits.Sub64(lo, bk.remainder, 0)
	hi -= borrow
	if hi >= uint64(bk.limit.Rate) {
		return math.MaxInt64
	}
	wt, rest := bits.Div64(hi, lo, uint64(bk.limit.Rate))
	if rest > 0 {
		wt++
	}
	return time.Duration(min(wt, math.MaxInt64))
}

// RecordWait counts n tokens as demand that was not met at once, so that the VM borrows share. A caller of TakeOrWait
// calls it once for each amount that it waits for.
func (bk *Bucket) RecordWait(n unit.Milli) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.use.largest = max(bk.use.largest, n)
	bk.use.refused += n
}

// RecordRefusal counts n tokens as refused to a caller of TakeOrWait that gave up before it took any.
func (bk *Bucket) RecordRefusal(n unit.Milli) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.refused += n
}

// Burst returns the number of tokens that the bucket can hold at the given moment.
func (bk *Bucket) Burst(now time.Time) unit.Milli {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	return bk.limit.Burst
}

// advance moves the bucket to the given moment. Loans end exactly at their expiry, also when this call comes later:
// until then tokens accrue at the higher rate, and at that moment tokens above the smaller capacity are clipped.
func (bk *Bucket) advance(now time.Time) {
	if bk.last.IsZero() {
		bk.last = now
	}
	for len(bk.loans) > 0 && !bk.loans[0].expiry.After(now) {
		bk.accrue(bk.loans[0].expiry)
		bk.loans = slices.Delete(bk.loans, 0, 1)
		bk.updateLimit()
	}
	bk.accrue(now)
}

const nanosPerSecond = uint64(time.Second)

// accrue adds the tokens of the time since last at the present rate.
func (bk *Bucket) accrue(now time.Time) {
	elapsed := now.Sub(bk.last)
	if elapsed <= 0 {
		return
	}
	bk.last = now
	missing := bk.limit.Burst - bk.tokens
	if missing <= 0 || bk.limit.Rate <= 0 {
		return
	}
	hi, lo := bits.Mul64(uint64(bk.limit.Rate), uint64(elapsed))
	lo, carry := bits.Add64(lo, bk.remainder, 0)
	hi += carry
	if hi >= nanosPerSecond { // more than 2^64 milli-tokens
		bk.fill()
		return
	}
	gained, rest := bits.Div64(hi, lo, nanosPerSecond)
	if gained >= uint64(missing) {
		bk.fill()
		return
	}
	bk.tokens += unit.Milli(gained)
	bk.remainder = rest
}

func (bk *Bucket) fill() {
	bk.tokens = bk.limit.Burst
	bk.remainder = 0
}

// updateLimit sets the limit after a change of own or loans and clips the tokens.
func (bk *Bucket) updateLimit() {
	bk.limit = Amount{Rate: bk.own.Rate, Burst: bk.own.Burst}
	for _, ln := range bk.loans {
		bk.limit = bk.limit.plus(ln.amount)
	}
	if bk.tokens >= bk.limit.Burst {
		bk.fill()
	}
}

// setOwn replaces the amount that is owned and not lent, after removing tokens that a loan carries away.
func (bk *Bucket) setOwn(now time.Time, own Amount, remove unit.Milli) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	bk.tokens = max(bk.tokens-remove, 0)
	bk.own = own
	bk.updateLimit()
}

// setLoan replaces the loan from the lender and adds the tokens that came with it.
func (bk *Bucket) setLoan(now time.Time, ln loan) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	bk.loans = slices.DeleteFunc(bk.loans, func(ot loan) bool { return ot.lender == ln.lender })
	// advance may have moved past now for a call with a later time.
	if !ln.amount.isZero() && ln.expiry.After(bk.last) {
		at, _ := slices.BinarySearchFunc(bk.loans, ln, func(ot, ln loan) int { return ot.expiry.Compare(ln.expiry) })
		bk.loans = slices.Insert(bk.loans, at, ln)
		bk.tokens += ln.amount.Tokens
	}
	bk.updateLimit()
}

// dropLoans ends all loans.
func (bk *Bucket) dropLoans(now time.Time) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	bk.loans = nil
	bk.updateLimit()
}

// snapshot is the state of a bucket at one moment.
type snapshot struct {
	usable   Amount // with tokens
	loans    []loan
	admitted unit.Milli
	refused  unit.Milli
}

// snapshot returns the state at the given moment.
func (bk *Bucket) snapshot(now time.Time) snapshot {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	sn := snapshot{usable: bk.limit, loans: slices.Clone(bk.loans), admitted: bk.admitted, refused: bk.refused}
	sn.usable.Tokens = bk.tokens
	return sn
}

// held returns what is borrowed from the lender at the given moment.
func (sn *snapshot) held(lender id.VMIncarnation) Amount {
	for _, ln := range sn.loans {
		if ln.lender == lender {
			return Amount{Rate: ln.amount.Rate, Burst: ln.amount.Burst}
		}
	}
	return Amount{}
}

// borrowed returns the sum of the loans.
func (sn *snapshot) borrowed() Amount {
	var sum Amount
	for _, ln := range sn.loans {
		sum = sum.plus(ln.amount)
	}
	return sum
}

// takeUsage returns and resets the usage.
func (bk *Bucket) takeUsage() usage {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	us := bk.use
	bk.use = usage{}
	return us
}
