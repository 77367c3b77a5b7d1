package report

import (
	"damasklatch/core/config"
	"damasklatch/core/unit"
)

// unitsPerMilli is the number of the bucket's units in one milli-token. With rates in milli-tokens a second and times in
// nanoseconds, all sums are exact integers.
const unitsPerMilli = 1_000_000_000

// unitsPerToken is one unitsPerToken in the bucket's units.
const unitsPerToken = int64(unit.One) * unitsPerMilli

// bucket is one bucket for the whole fleet. Its level is what is taken and not refilled yet. An int64 holds bursts
// up to nine million tokens.
type bucket struct {
	rate  int64 // units a nanosecond
	burst int64
	level int64
	last  int64 // Unix nanoseconds
}

// newBucket returns a full bucket with the limits of a team.
func newBucket(tm config.Team) *bucket {
	return &bucket{rate: int64(tm.Rate), burst: int64(tm.Burst) * unitsPerMilli}
}

// refill advances the time. Times that go backwards change nothing.
func (bk *bucket) refill(at int64) {
	dt := at - bk.last
	if dt <= 0 {
		return
	}
	bk.last = at
	if bk.rate > 0 && dt > bk.level/bk.rate { // the product would exceed the level, and perhaps an int64
		bk.level = 0
		return
	}
	bk.level -= bk.rate * dt
}

// take takes a token if there is one.
func (bk *bucket) take(at int64) bool {
	bk.refill(at)
	if bk.level+unitsPerToken > bk.burst {
		return false
	}
	bk.level += unitsPerToken
	return true
}

// forceTake takes a token in any case and returns by how much the bucket is then overdrawn; negative is what is left.
func (bk *bucket) forceTake(at int64) int64 {
	bk.refill(at)
	bk.level += unitsPerToken
	return bk.level - bk.burst
}

// maxWindowExcess returns the largest value, over all windows that begin and end with a request, of the requests in
// the window less rate*t+burst. It needs one pass: the level of an unbounded bucket after a request is the largest
// sum over all windows that end with it. The times must ascend.
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
