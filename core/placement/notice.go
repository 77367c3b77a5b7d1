package placement

import (
	"time"

	"damasklatch/core/id"
)

const (
	// maxPause limits the time for which a target can ask this VM to send it nothing.
	maxPause = 10 * time.Minute
	// leavingMemory is the time for which a process that was leaving is remembered after its registration was last seen. It must be
	// longer than a registration can be missing by mistake.
	leavingMemory = 10 * time.Minute
)

// Notice is what a target says about itself in a response. A VM acts only on notices that it has received itself: another VM gets its
// own with its next response from the target, and the store tells all VMs of targets that drain.
type Notice struct {
	Leaving bool          // the target is shutting down and wants no further requests
	Pause   time.Duration // the target wants no requests from this VM for so long; zero if it did not say so
}

// process identifies a process of a target.
type process struct {
	startUnixMilli int64
	address        string
}

// leftProcess is a process that said that it was leaving.
type leftProcess struct {
	process
	seen time.Time // when its registration was last seen
}

// HandleNotice applies a notice of the target of a choice. It reports whether it has changed whether the target gets requests. It
// ignores a notice of a process that is no longer registered.
//
// A target that leaves gets no further requests of this VM, whatever the store says, until another process with its name is
// registered.
func (pc *Placer) HandleNotice(now time.Time, ch *Choice, nt Notice) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	ts := pc.targets[ch.ID]
	if ts == nil || ts.process() != ch.process() {
		return false
	}
	before := ts.closed(now)
	if nt.Pause > 0 {
		until := now.Add(min(nt.Pause, maxPause))
		if until.After(ts.pausedUntil) {
			ts.pausedUntil = until
		}
	}
	if nt.Leaving {
		ts.leaving = true
		pc.left[ch.ID] = leftProcess{ts.process(), now}
	}
	return before != ts.closed(now)
}

func (tg *Target) process() process { return process{tg.StartUnixMilli, tg.Address} }

// restoreLeaving marks a registered target as leaving if its process has said so, even if its registration was missing since.
func (pc *Placer) restoreLeaving(now time.Time, ts *targetState) {
	lp, ok := pc.left[ts.ID]
	switch {
	case !ok:
	case lp.process != ts.process():
		delete(pc.left, ts.ID)
	default:
		ts.leaving = true
		pc.left[ts.ID] = leftProcess{lp.process, now}
	}
}

// forgetLeft forgets the processes whose registration was not seen for leavingMemory.
func (pc *Placer) forgetLeft(now time.Time) {
	for name, lp := range pc.left {
		if now.Sub(lp.seen) >= leavingMemory {
			delete(pc.left, name)
		}
	}
}

// closed reports whether the target gets no requests of this VM, for reasons other than failures.
func (ts *targetState) closed(now time.Time) bool {
	return ts.Draining || ts.leaving || ts.evacuated || ts.misplaced || now.Before(ts.pausedUntil)
}

// noTarget returns the refusal of a request for which no target is usable. If all targets that could serve it later have asked for a
// pause, the caller may return at the end of the first pause.
func (pc *Placer) noTarget(now time.Time, pl *pool, rq *Request, region id.Region) *Refusal {
	rf := &Refusal{Reason: NoTarget, RetryAfter: noTargetRetryAfter, Region: region}
	var soonest time.Duration
	for _, ts := range pl.targets {
		pause := ts.pausedUntil.Sub(now)
		if ts.Draining || ts.leaving || ts.evacuated || ts.misplaced || rq.Allowed != nil && !rq.Allowed(ts.Region) {
			continue
		}
		if pause <= 0 {
			return rf
		}
		if soonest == 0 || pause < soonest {
			soonest = pause
		}
	}
	if soonest > 0 {
		rf.RetryAfter = max(soonest, minRetryAfter)
	}
	return rf
}
