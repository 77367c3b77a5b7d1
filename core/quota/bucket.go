package quota

import "time"

// bucket is a token bucket whose rate and size change.
type bucket struct {
	rate   float64 // tokens a second
	size   float64
	tokens float64
	last   time.Time
}

func (bk *bucket) refill(now time.Time) {
	if passed := now.Sub(bk.last).Seconds(); passed > 0 {
		bk.tokens = min(bk.tokens+passed*bk.rate, bk.size)
	}
	bk.last = now
}

// setLimit changes rate and size.
func (bk *bucket) setLimit(now time.Time, rate, size float64) {
	bk.refill(now)
	bk.rate, bk.size = rate, size
	bk.tokens = min(bk.tokens, size)
}

// take takes a token, or returns the time until there is one.
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
