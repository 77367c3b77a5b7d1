package place

import (
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// budgetUsed is the part of the allowed retries that a VM spends. The ratio applies to the requests of each VM, so the VMs
	// together keep it without messages.
	budgetUsed = 0.8
	// startSlack is the part of the slack that a process has in its first window: with what the process before it used, a VM
	// stays within its slack.
	startSlack = 1/budgetUsed - 1
	// budgetBuckets divide the window.
	budgetBuckets = 10
)

// RetryBudget limits the attempts beyond the first of each request to a part of the recent requests of the same pool, and to a
// number that needs no requests. A process that has just started has a small part of that number, because the one before may
// have used up its own. RetryBudget is safe for concurrent use.
type RetryBudget struct {
	window time.Duration
	begun  time.Time

	mu    sync.Mutex
	ratio float64
	slack float64
	pools map[id.Pool]*retries
}

// retries counts the requests and retries of a pool in parts of the window.
type retries struct {
	at       int64 // number of the newest part
	requests [budgetBuckets]int
	retries  [budgetBuckets]int
}

// NewRetryBudget returns a budget for retries of the ratio in each window. The slack is zero.
func NewRetryBudget(now time.Time, ratio float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, window: window, begun: now, pools: map[id.Pool]*retries{}}
}

// SetSlack changes the number of retries of each pool in a window that need no requests.
func (bg *RetryBudget) SetSlack(slack float64) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.slack = slack
}

// SetRatio changes the part of the requests that may be sent again.
func (bg *RetryBudget) SetRatio(ratio float64) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.ratio = ratio
}

// turn returns the counts of a pool with the part that is filled at present.
func (bg *RetryBudget) turn(now time.Time, pool id.Pool) (*retries, int) {
	rt := bg.pools[pool]
	if rt == nil {
		rt = &retries{}
		bg.pools[pool] = rt
	}
	nr := int64(now.Sub(bg.begun) / (bg.window / budgetBuckets))
	for ; rt.at < nr; rt.at++ {
		if nr-rt.at > budgetBuckets {
			rt.at = nr - budgetBuckets
		}
		next := (rt.at + 1) % budgetBuckets
		rt.requests[next], rt.retries[next] = 0, 0
	}
	return rt, int(rt.at % budgetBuckets)
}

// CountRequest counts a request for a pool.
func (bg *RetryBudget) CountRequest(now time.Time, pool id.Pool) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	rt, nr := bg.turn(now, pool)
	rt.requests[nr]++
}

// Take reports whether another attempt is within the budget of the pool, and counts it.
func (bg *RetryBudget) Take(now time.Time, pool id.Pool) bool {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	rt, nr := bg.turn(now, pool)
	var requests, used int
	for at := range budgetBuckets {
		requests += rt.requests[at]
		used += rt.retries[at]
	}
	slack := bg.slack
	if now.Sub(bg.begun) < bg.window {
		slack *= startSlack
	}
	if float64(used+1) > budgetUsed*(bg.ratio*float64(requests)+slack) {
		return false
	}
	rt.retries[nr]++
	return true
}
