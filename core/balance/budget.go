package balance

import "sync"

const (
	// Each request earns a tenth of a retry. The most that can be saved up bounds a burst of retries, the start allows
	// some when there was no traffic yet.
	retriesEarned  = 100  // thousandths of a retry
	retryCost      = 1000 // thousandths
	retriesSaved   = 20 * retryCost
	retriesAtStart = 5 * retryCost
)

// RetryBudget limits retries to a tenth of the recent requests. It is safe for concurrent use.
type RetryBudget struct {
	mu     sync.Mutex
	milli  int
	filled bool
}

// CountRequest counts a request, retries not included.
func (rb *RetryBudget) CountRequest() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.start()
	rb.milli = min(rb.milli+retriesEarned, retriesSaved)
}

// Take reports whether a retry is within the budget, and counts it.
func (rb *RetryBudget) Take() bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.start()
	if rb.milli < retryCost {
		return false
	}
	rb.milli -= retryCost
	return true
}

func (rb *RetryBudget) start() {
	if !rb.filled {
		rb.milli, rb.filled = retriesAtStart, true
	}
}
