package placement

import (
	"math"
	"time"

	"damasklatch/core/id"
)

// normalWaiters is the fraction of the requests that may wait for the end of a pause that other than urgent requests may take.
const normalWaiters = 0.5

// PoolPause returns the time until the first target that could serve the request ends its pause, or zero if one of them does not
// pause or there is none.
func (pc *Placer) PoolPause(now time.Time, rq *Request) time.Duration {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pause, _ := pc.poolPause(now, pc.pool(rq.Pool), rq, rq.objectHash())
	return pause
}

// BeginWait reports whether a request whose targets all pause may wait for the first of them in this VM, with so much time left until
// its deadline. If so, the caller must call EndWait after the wait. On all VMs together, about as many requests may wait as the targets
// have slots, so that each of them gets one when the targets return.
func (pc *Placer) BeginWait(now time.Time, rq *Request, remaining time.Duration) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pl := pc.pool(rq.Pool)
	object := rq.objectHash()
	if _, ok := pc.poolPause(now, pl, rq, object); !ok {
		return false
	}
	slots := 0
	var first time.Time
	for _, ts := range pl.targets {
		if ts.shut() || rq.Allowed != nil && !rq.Allowed(ts.Region) {
			continue
		}
		slots += ts.Slots
		if at := ts.opensAt(pc.position(ts, object)); first.IsZero() || at.Before(first) {
			first = at
		}
	}
	most := math.Ceil(float64(slots) / float64(max(pc.countVMs(), 1)))
	if !rq.Urgent {
		most *= normalWaiters
	}
	if float64(pl.waiting) >= most || first.Sub(now)+pl.serviceTimesFor(rq).known >= remaining {
		return false
	}
	pl.waiting++
	return true
}

// EndWait ends the wait of a request.
func (pc *Placer) EndWait(name id.Pool) {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	pc.pool(name).waiting--
}

// countVMs returns the number of live VMs that get requests of callers.
func (pc *Placer) countVMs() int {
	num := 0
	for _, vms := range pc.vms {
		num += len(vms)
	}
	return num
}
