// Package waitqueue provides a bounded FIFO queue of goroutines that wait for a shared resource, such as a free slot.
//
// Requests arrive at random times. Without a queue, a VM with a dozen slots would refuse about one request in seven at
// 90% load, although waiting a few milliseconds is enough to get a slot.
package waitqueue

import (
	"context"
	"slices"
	"sync"
	"time"
)

// retryInterval is how often the first waiter retries without a Wake. A limit may have been raised, which releases
// nothing and so wakes nobody.
const retryInterval = 20 * time.Millisecond

// Queue is a FIFO queue of waiting goroutines. It is safe for concurrent use. Create it with New.
type Queue struct {
	maxWaiting int

	mu      sync.Mutex
	waiting []*waiter
}

// waiter is a waiting goroutine. Its channel holds at most one wake-up.
type waiter struct{ wake chan struct{} }

// New returns an empty queue in which at most maxWaiting goroutines can wait.
func New(maxWaiting int) *Queue { return &Queue{maxWaiting: maxWaiting} }

// Acquire calls try until it succeeds and reports whether it did. If the queue is empty, it calls try at once; otherwise
// it waits until all earlier goroutines have left the queue. It returns false after maxWait, when ctx is done, or at once
// if the queue is full or maxWait is not positive. It calls try with the queue locked, so try must not block and must not
// use the queue.
func (qu *Queue) Acquire(ctx context.Context, maxWait time.Duration, try func() bool) bool {
	qu.mu.Lock()
	if len(qu.waiting) == 0 && try() {
		qu.mu.Unlock()
		return true
	}
	if maxWait <= 0 || len(qu.waiting) >= qu.maxWaiting {
		qu.mu.Unlock()
		return false
	}
	wt := &waiter{wake: make(chan struct{}, 1)}
	qu.waiting = append(qu.waiting, wt)
	qu.mu.Unlock()
	return qu.wait(ctx, maxWait, wt, try)
}

func (qu *Queue) wait(ctx context.Context, maxWait time.Duration, wt *waiter, try func() bool) bool {
	timeout := time.NewTimer(maxWait)
	defer timeout.Stop()
	retry := time.NewTicker(retryInterval)
	defer retry.Stop()
	for {
		select {
		case <-ctx.Done():
			return qu.remove(wt, false)
		case <-timeout.C:
			return qu.remove(wt, false)
		case <-wt.wake:
		case <-retry.C:
		}
		if qu.tryFirst(wt, try) {
			return qu.remove(wt, true)
		}
	}
}

func (qu *Queue) tryFirst(wt *waiter, try func() bool) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	return qu.waiting[0] == wt && try()
}

// remove removes a goroutine from the queue and returns acquired. It wakes the next goroutine, because a Wake that was
// meant for the removed one may have been lost.
func (qu *Queue) remove(wt *waiter, acquired bool) bool {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	if at := slices.Index(qu.waiting, wt); at >= 0 {
		qu.waiting = slices.Delete(qu.waiting, at, at+1)
	}
	qu.wakeFirst()
	return acquired
}

// Wake makes the first waiting goroutine retry. Call it after a release of the resource.
func (qu *Queue) Wake() {
	qu.mu.Lock()
	defer qu.mu.Unlock()
	qu.wakeFirst()
}

func (qu *Queue) wakeFirst() {
	if len(qu.waiting) == 0 {
		return
	}
	select {
	case qu.waiting[0].wake <- struct{}{}:
	default:
	}
}
