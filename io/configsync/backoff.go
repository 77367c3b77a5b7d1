package configsync

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"
)

// jitter draws random delays. It is safe for concurrent use.
type jitter struct {
	mu  sync.Mutex
	rnd *rand.Rand
}

func newJitter(seed uint64) *jitter {
	if seed == 0 {
		seed = rand.Uint64()
	}
	return &jitter{rnd: rand.New(rand.NewPCG(seed, 0))}
}

// around returns a duration from d/2 to d.
func (ji *jitter) around(d time.Duration) time.Duration {
	ji.mu.Lock()
	defer ji.mu.Unlock()
	return d/2 + time.Duration(ji.rnd.Int64N(int64(d/2)+1))
}

// backoff doubles the delay between attempts up to a maximum, with jitter, so that a fleet does not retry in step.
type backoff struct {
	ji         *jitter
	base, most time.Duration
	next       time.Duration
}

func (bo *backoff) delay() time.Duration {
	bo.next = min(max(bo.next, bo.base), bo.most)
	d := bo.ji.around(bo.next)
	bo.next *= 2
	return d
}

func (bo *backoff) reset() { bo.next = 0 }

// sleep waits and reports whether the context still lives.
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
