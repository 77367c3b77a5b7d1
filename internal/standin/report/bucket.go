package report

import (
	"damasklatch/core/config"
	"damasklatch/core/unit"
)

// unitsPerMilli is the number of bucket units in one milli-token. Rates are in milli-tokens per second and times in
// nanoseconds, so a rate in milli-tokens per second is also a rate in units per nanosecond, and all sums are exact
// integers.
const unitsPerMilli = 1_000_000_000

// unitsPerToken is the number of bucket units in one token.
const unitsPerToken = int64(unit.One) * unitsPerMilli

// bucket is a token bucket that stands for the limit of one team over the whole fleet. Amounts are in bucket units; an
// int64 holds bursts up to nine million tokens.
type bucket struct {
	rate  int64 // units per nanosecond
	burst int64
	level int64 // units taken and not yet refilled
	last  int64 // time of the last refill in Unix nanoseconds
}

// newBucket returns a full bucket with the rate and burst of a team.
func newBucket(tm config.Team) *bucket {
	return &bucket{rate: int64(tm.Rate), burst: int64(tm.Burst) * unitsPerMilli}
}

// refill adds the tokens for the time since the last refill. An earlier time than that of the last refill is ignored.
func (bk *bucket) refill(at int64) {
	dt := at - bk.last
	if dt <= 0 {
		return
	}
	bk.last = at
	if bk.rate > 0 && dt > bk.level/bk.rate { // the bucket is full, and the product below could overflow
		bk.level = 0
		return
	}
	bk.level -= bk.rate * dt
}

// take takes a token if one is available at the given time, and reports whether it did.
func (bk *bucket) take(at int64) bool {
	bk.refill(at)
	if bk.level+unitsPerToken > bk.burst {
		return false
	}
	bk.level += unitsPerToken
	return true
}

// forceTake takes a token even if none is available. It returns the overdraft in bucket units; a negative value is the
// amount that is still available.
func (bk *bucket) forceTake(at int64) int64 {
	bk.refill(at)
	bk.level += unitsPerToken
	return bk.level - bk.burst
}

// maxWindowExcess returns by how many tokens the requests exceeded the team's limit in the worst time window. The
// excess of a window of length t that begins and ends with a request is the number of its requests less rate*t+burst.
// One pass is enough: after each request, the level of a bucket that is never refused equals the largest such value,
// plus the burst, over all windows that end with this request. The times must ascend. ok is false if there are none.
func maxWindowExcess(tm config.Team, times []int64) (tokens float64, ok bool) {
	if len(times) == 0 {
		return 0, false
	}
	bk := newBucket(tm)
	most := bk.forceTake(times[0])
	for _, at := range times[1:] {
		most = max(most, bk.forceTake(at))
	}
	return float64(most) / float64(unitsPerToken), true
}
