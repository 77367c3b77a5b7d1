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

// Bucket is a token bucket. Its limit is what the VM owns and has not lent, plus what it has borrowed. It is safe for
// concurrent use.
type Bucket struct {
	mu    sync.Mutex
	own   Amount    // owned and not lent
	loans []loan    // ordered by expiry
	limit Amount    // sum of own and loans, without tokens
	last  time.Time // latest time to which advance has moved the bucket
	// tokens and remainder are the content of the bucket at the time last. The remainder is in units of 1e-9
	// thousandths of a token, so that frequent calls lose nothing to rounding.
	tokens    unit.Milli
	remainder uint64
	use       usage // since the latest call of takeUsage
	admitted  unit.Milli
	refused   unit.Milli
}

// loan is an amount borrowed from one lender. It counts until its expiry.
type loan struct {
	lender id.VMIncarnation
	amount Amount
	expiry time.Time
}

// usage sums up the calls that took tokens from a bucket or were refused.
type usage struct {
	admitted unit.Milli
	refused  unit.Milli
	largest  unit.Milli // largest single call
}

// Take removes n tokens and reports whether the bucket had that many. It refuses a negative n. A time before that of
// an earlier call is treated as the time of that call.
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

// TakeOrWait removes n tokens and returns zero if the bucket has that many. Otherwise it takes nothing and returns
// the time after which the tokens will be available at the current rate, or a negative duration if the bucket can't
// hold n tokens at its current limit. Unlike a failed call of Take, it does not count a refusal.
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

// WaitTime returns what TakeOrWait would return, and takes no tokens.
func (bk *Bucket) WaitTime(now time.Time, n unit.Milli) time.Duration {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	return bk.waitTime(n)
}

// waitTime implements WaitTime. The caller holds mu and has called advance.
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

// RecordWait counts n tokens as demand that could not be met at once, so that the VM borrows more. A caller of
// TakeOrWait calls it once for each amount that it waits for.
func (bk *Bucket) RecordWait(n unit.Milli) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.use.largest = max(bk.use.largest, n)
	bk.use.refused += n
}

// RecordRefusal counts n tokens as refused. A caller of TakeOrWait calls it when it gives up before it took the
// tokens.
func (bk *Bucket) RecordRefusal(n unit.Milli) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.refused += n
}

// Burst returns the number of tokens that the bucket can hold at the given time.
func (bk *Bucket) Burst(now time.Time) unit.Milli {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	return bk.limit.Burst
}

// advance moves the bucket to the given time. Loans end exactly at their expiry, even if the call comes later: tokens
// accrue at the higher rate until the expiry, and at the expiry tokens above the smaller burst are dropped.
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

// accrue adds the tokens of the time since last at the current rate.
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

// fill sets the tokens to the burst.
func (bk *Bucket) fill() {
	bk.tokens = bk.limit.Burst
	bk.remainder = 0
}

// updateLimit recomputes the limit after a change of own or loans, and drops tokens above the burst.
func (bk *Bucket) updateLimit() {
	bk.limit = Amount{Rate: bk.own.Rate, Burst: bk.own.Burst}
	for _, ln := range bk.loans {
		bk.limit = bk.limit.plus(ln.amount)
	}
	if bk.tokens >= bk.limit.Burst {
		bk.fill()
	}
}

// setOwn replaces the amount that the VM owns and has not lent, after it removes the tokens that were sent with a
// loan.
func (bk *Bucket) setOwn(now time.Time, own Amount, remove unit.Milli) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	bk.tokens = max(bk.tokens-remove, 0)
	bk.own = own
	bk.updateLimit()
}

// setLoan replaces the loan from one lender and adds the tokens that came with it. A loan with a zero amount only
// removes the earlier one.
func (bk *Bucket) setLoan(now time.Time, ln loan) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	bk.loans = slices.DeleteFunc(bk.loans, func(ot loan) bool { return ot.lender == ln.lender })
	// An earlier call with a later time may have advanced the bucket beyond now.
	if !ln.amount.isZero() && ln.expiry.After(bk.last) {
		at, _ := slices.BinarySearchFunc(bk.loans, ln, func(ot, ln loan) int { return ot.expiry.Compare(ln.expiry) })
		bk.loans = slices.Insert(bk.loans, at, ln)
		bk.tokens += ln.amount.Tokens
	}
	bk.updateLimit()
}

// dropLoans removes all loans.
func (bk *Bucket) dropLoans(now time.Time) {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	bk.loans = nil
	bk.updateLimit()
}

// snapshot is the state of a bucket at one time.
type snapshot struct {
	usable   Amount // with tokens
	loans    []loan
	admitted unit.Milli
	refused  unit.Milli
}

// snapshot returns the state at the given time.
func (bk *Bucket) snapshot(now time.Time) snapshot {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	bk.advance(now)
	sn := snapshot{usable: bk.limit, loans: slices.Clone(bk.loans), admitted: bk.admitted, refused: bk.refused}
	sn.usable.Tokens = bk.tokens
	return sn
}

// held returns the rate and burst that are borrowed from the lender.
func (sn *snapshot) held(lender id.VMIncarnation) Amount {
	for _, ln := range sn.loans {
		if ln.lender == lender {
			return Amount{Rate: ln.amount.Rate, Burst: ln.amount.Burst}
		}
	}
	return Amount{}
}

// borrowed returns the sum of all loans, without tokens.
func (sn *snapshot) borrowed() Amount {
	var sum Amount
	for _, ln := range sn.loans {
		sum = sum.plus(ln.amount)
	}
	return sum
}

// takeUsage returns the usage since the previous call and resets it.
func (bk *Bucket) takeUsage() usage {
	bk.mu.Lock()
	defer bk.mu.Unlock()
	us := bk.use
	bk.use = usage{}
	return us
}
