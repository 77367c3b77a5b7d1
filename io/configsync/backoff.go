package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitter returns random delays. It is safe for concurrent use.
type jitter struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

// newJitter returns a jitter with the seed. Seed zero means a random seed.
func newJitter(seed uint64) *jitter {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &jitter{rnd: rand.New(rand.NewPCG(seed, 0))}
}

// halfJitter returns a random duration from d/2 to d.
func (ji *jitter) halfJitter(d time.Duration) time.Duration {
	ji.mu.Lock()
	defer ji.mu.Unlock()
	return d/2 + time.Duration(ji.rnd.Int64N(int64(d/2)+1))
}

// backoff doubles the delay between attempts up to a maximum. The jitter keeps the VMs of a fleet from retrying at the
// same time.
type backoff struct {
	ji                 *jitter
	minDelay, maxDelay time.Duration
	next               time.Duration
}

// delay returns the delay before the next attempt and doubles the one that follows.
func (bo *backoff) delay() time.Duration {
	bo.next = min(max(bo.next, bo.minDelay), bo.maxDelay)
	d := bo.ji.halfJitter(bo.next)
	bo.next *= 2
	return d
}

func (bo *backoff) reset() { bo.next = 0 }

// sleep waits for the duration. It returns false at once if the context ends.
func sleep(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}
