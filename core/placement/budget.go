package placement

import (
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// budgetFraction is the fraction of the allowed retries that a VM uses. Each VM applies the ratio to its own requests, so
	// all VMs together stay within the ratio without exchanging messages.
	budgetFraction = 0.8
	// initialSlackFraction is the fraction of the slack that is available in the first window of a process. The previous
	// process on the VM may have used budgetFraction of the slack within the same window. The new process gets the remainder:
	// budgetFraction * initialSlackFraction = 1 - budgetFraction.
	initialSlackFraction = 1/budgetFraction - 1
	// windowBuckets is the number of buckets into which the sliding window is divided.
	windowBuckets = 10
)

// RetryBudget limits the retries of each pool within a sliding window. The limit is a ratio of the requests to the pool in the
// window, plus a slack that does not depend on them. During the first window of a process, only a small fraction of the slack
// is available, because the previous process on the VM may have used the rest. RetryBudget is safe for concurrent use.
type RetryBudget struct {
	window time.Duration
	start  time.Time

	mu    sync.Mutex
	ratio float64
	slack float64
	pools map[id.Pool]*poolCounts
}

// poolCounts holds the requests and retries of a pool for each bucket of the window.
type poolCounts struct {
	newest   int64 // number of the newest bucket, counted from the start of the budget
	requests [windowBuckets]int
	retries  [windowBuckets]int
}

// NewRetryBudget returns a budget that allows retries up to the given ratio of the requests in each window. The slack is zero
// until SetSlack is called.
func NewRetryBudget(now time.Time, ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window, start: now, pools: map[id.Pool]*poolCounts{}}
}

// SetSlack sets the number of retries that each pool may have in a window in addition to the ratio of its requests.
func (bg *RetryBudget) SetSlack(slack float64) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.slack = slack
}

// SetRatio sets the number of retries allowed for each request in a window.
func (bg *RetryBudget) SetRatio(ratio float64) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.ratio = ratio
}

// advance clears the buckets that have left the window. It returns the counts of the pool and the index of the current bucket.
func (bg *RetryBudget) advance(now time.Time, pool id.Pool) (*poolCounts, int) {
	rt := bg.pools[pool]
	if rt == nil {
		rt = &poolCounts{}
		bg.pools[pool] = rt
	}
	nr := int64(now.Sub(bg.start) / (bg.window / windowBuckets))
	for ; rt.newest < nr; rt.newest++ {
		if nr-rt.newest > windowBuckets {
			rt.newest = nr - windowBuckets
		}
		next := (rt.newest + 1) % windowBuckets
		rt.requests[next], rt.retries[next] = 0, 0
	}
	return rt, int(rt.newest % windowBuckets)
}

// CountRequest counts a request to a pool. Retries of the request are not counted here.
func (bg *RetryBudget) CountRequest(now time.Time, pool id.Pool) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	rt, nr := bg.advance(now, pool)
	rt.requests[nr]++
}

// Take reports whether a retry is within the budget of the pool. If it is, Take counts the retry.
func (bg *RetryBudget) Take(now time.Time, pool id.Pool) bool {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	rt, nr := bg.advance(now, pool)
	var requests, used int
	for at := range windowBuckets {
		requests += rt.requests[at]
		used += rt.retries[at]
	}
	slack := bg.slack
	if now.Sub(bg.start) < bg.window {
		slack *= initialSlackFraction
	}
	if float64(used+1) > budgetFraction*(bg.ratio*float64(requests)+slack) {
		return false
	}
	rt.retries[nr]++
	return true
}
