// Package waitqueue lets goroutines wait in order of arrival, for a bounded time, for something that others release.
//
// Requests arrive at random moments, so that a VM with a dozen slots would refuse about every seventh request at 90%
// load if none could wait a few milliseconds for a slot.
package waitqueue

import (
	"context"
	"slices"
	"sync"
	"time"
)

// retryEvery is the time after which the first in line tries again without a release, as a limit may have grown.
const retryEvery = 20 * time.Millisecond

// Queue is a line of waiting goroutines. It is safe for concurrent use.
type Queue struct {
	most int

	mu      sync.Mutex
	waiting []*waiter
}

type waiter struct{ wake chan struct{} }

// New returns a line for at most the given number of goroutines.
func New(most int) *Queue { return &Queue{most: most} }

// Acquire calls try until it succeeds, and reports whether it did. It waits behind those that came before, at most for
// the given time and while the context lasts, and not at all if the line is full.
func (ln *Queue) Acquire(ctx context.Context, most time.Duration, try func() bool) bool {
	ln.mu.Lock()
	if len(ln.waiting) == 0 && try() {
		ln.mu.Unlock()
		return true
	}
	if most <= 0 || len(ln.waiting) >= ln.most {
		ln.mu.Unlock()
		return false
	}
	wt := &waiter{wake: make(chan struct{}, 1)}
	ln.waiting = append(ln.waiting, wt)
	ln.mu.Unlock()
	return ln.wait(ctx, most, wt, try)
}

func (ln *Queue) wait(ctx context.Context, most time.Duration, wt *waiter, try func() bool) bool {
	end := time.NewTimer(most)
	defer end.Stop()
	again := time.NewTicker(retryEvery)
	defer again.Stop()
	for {
		select {
		case <-ctx.Done():
			return ln.leave(wt, false)
		case <-end.C:
			return ln.leave(wt, false)
		case <-wt.wake:
		case <-again.C:
		}
		if ln.tryFirst(wt, try) {
			return ln.leave(wt, true)
		}
	}
}

func (ln *Queue) tryFirst(wt *waiter, try func() bool) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	return ln.waiting[0] == wt && try()
}

// leave takes a goroutine out of the line. The next one tries, as it may have missed a release.
func (ln *Queue) leave(wt *waiter, took bool) bool {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	if at := slices.Index(ln.waiting, wt); at >= 0 {
		ln.waiting = slices.Delete(ln.waiting, at, at+1)
	}
	ln.wakeFirst()
	return took
}

// Wake tells the first in line that something was released.
func (ln *Queue) Wake() {
	ln.mu.Lock()
	defer ln.mu.Unlock()
	ln.wakeFirst()
}

func (ln *Queue) wakeFirst() {
	if len(ln.waiting) == 0 {
		return
	}
	select {
	case ln.waiting[0].wake <- struct{}{}:
	default:
	}
}
