package target

import (
	"container/list"
	"context"
	"sync"

	"github.com/pkg/errors"
)

// errQueueFull is returned by acquire when all slots are in use and the queue is full.
var errQueueFull = errors.New("all slots are in use and the queue is full")

// slotQueue assigns a fixed number of slots to requests. Requests without a slot wait in a bounded first-in,
// first-out queue.
type slotQueue struct {
	slots, maxQueued int

	mu      sync.Mutex
	running int
	waiting list.List // of chan struct{}, each closed when its request gets a slot
}

// acquire waits for a slot, which the caller must release. It returns errQueueFull if the queue is full, or the error
// of the context if the context ends first.
func (sq *slotQueue) acquire(ctx context.Context) error {
	sq.mu.Lock()
	if sq.running < sq.slots {
		sq.running++
		sq.mu.Unlock()
		return nil
	}
	if sq.waiting.Len() >= sq.maxQueued {
		sq.mu.Unlock()
		return errQueueFull
	}
	granted := make(chan struct{})
	el := sq.waiting.PushBack(granted)
	sq.mu.Unlock()

	select {
	case <-granted:
		return nil
	case <-ctx.Done():
	}
	sq.mu.Lock()
	defer sq.mu.Unlock()
	select {
	case <-granted: // the slot was assigned while the context ended
		sq.releaseLocked()
	default:
		sq.waiting.Remove(el)
	}
	return ctx.Err()
}

// release frees a slot.
func (sq *slotQueue) release() {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	sq.releaseLocked()
}

// releaseLocked assigns the slot to the first waiting request, if any. The caller holds the mutex.
func (sq *slotQueue) releaseLocked() {
	if el := sq.waiting.Front(); el != nil {
		granted, _ := sq.waiting.Remove(el).(chan struct{})
		close(granted)
		return
	}
	sq.running--
}

// load returns the numbers of running and waiting requests.
func (sq *slotQueue) load() (running, queued int) {
	sq.mu.Lock()
	defer sq.mu.Unlock()
	return sq.running, sq.waiting.Len()
}
