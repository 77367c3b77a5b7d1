package quota

import "time"

// bucket is a token bucket whose rate and size can change while it is in use.
type bucket struct {
	rate   float64 // tokens per second
	size   float64 // largest number of tokens
	tokens float64
	last   time.Time // time of the latest refill
}

// refill adds the tokens that accrued since the previous call.
func (bk *bucket) refill(now time.Time) {
	if passed := now.Sub(bk.last).Seconds(); passed > 0 {
		bk.tokens = min(bk.tokens+passed*bk.rate, bk.size)
	}
	bk.last = now
}

// setLimit changes the rate and the size. Tokens above the new size are dropped.
func (bk *bucket) setLimit(now time.Time, rate, size float64) {
	bk.refill(now)
	bk.rate, bk.size = rate, size
	bk.tokens = min(bk.tokens, size)
}

// take removes one token. If there is none, it returns the time until one is available, at most maxWait.
func (bk *bucket) take(now time.Time) (wait time.Duration, ok bool) {
	bk.refill(now)
	if bk.tokens >= 1 {
		bk.tokens--
		return 0, true
	}
	if bk.rate <= 0 {
		return maxWait, false
	}
	wait = time.Duration((1 - bk.tokens) / bk.rate * float64(time.Second))
	return min(wait, maxWait), false
}
