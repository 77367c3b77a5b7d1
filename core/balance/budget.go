package balance

import "sync"

const (
	// Each request earns a tenth of a retry. maxSaved limits a burst of retries. initialSaved allows some retries before
	// there was any traffic.
	earnedPerRequest = 100  // thousandths of a retry
	retryCost        = 1000 // thousandths
	maxSaved         = 20 * retryCost
	initialSaved     = 5 * retryCost
)

// RetryBudget limits retries to a tenth of the recent requests. The zero value is ready to use. It is safe for concurrent use.
type RetryBudget struct {
	mu          sync.Mutex
	savedMilli  int
	initialized bool
}

// CountRequest counts a request, retries not included.
func (rb *RetryBudget) CountRequest() {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.initialize()
	rb.savedMilli = min(rb.savedMilli+earnedPerRequest, maxSaved)
}

// Take reports whether a retry is within the budget. If it is, Take counts the retry.
func (rb *RetryBudget) Take() bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.initialize()
	if rb.savedMilli < retryCost {
		return false
	}
	rb.savedMilli -= retryCost
	return true
}

func (rb *RetryBudget) initialize() {
	if !rb.initialized {
		rb.savedMilli, rb.initialized = initialSaved, true
	}
}
