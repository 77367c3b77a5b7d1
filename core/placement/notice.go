package placement

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// maxPause limits the time for which a target can ask this VM to send it nothing.
	maxPause = 10 * time.Minute
	// leavingMemory is the time for which a process that was leaving is remembered after its registration was last seen. It must be
	// longer than a registration can be missing by mistake.
	leavingMemory = 10 * time.Minute
	// After a pause, the fraction of requests that may be sent to the target grows from firstReturnFraction to 1 within half of the
	// length of the pause, but minReturnTime at least and maxReturnTime at most. Otherwise all VMs would send their whole load at the
	// same moment. A longer return costs callers more than it spares the target, because the other targets are overloaded meanwhile.
	firstReturnFraction = 0.1
	minReturnTime       = 250 * time.Millisecond // for VMs that are told shortly before the end of the pause
	maxReturnTime       = time.Second
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

// ProcessID is a process of the target with a name.
type ProcessID struct {
	name id.Target
	process
}

// noticeState is what a process of a target has said about itself.
type noticeState struct {
	leaving     bool      // the process is shutting down
	pausedUntil time.Time // until when it wants no requests from this VM
	returnTime  time.Duration
}

// heldNotice is the notice of a process, which holds also while its registration is missing.
type heldNotice struct {
	noticeState
	seen time.Time // when its registration was last seen
}

// HandleNotice applies a notice of the target of a choice. It reports whether the target began to leave or to pause by it. A notice of
// a process that is not registered is only remembered, because its registration may come back.
//
// A target that leaves gets no further requests of this VM, whatever the store says, until another process with its name is
// registered. Nothing that the process or the store says later ends it, and neither ends a pause early.
func (pc *Placer) HandleNotice(now time.Time, ch *Choice, nt Notice) bool {
	if nt == (Notice{}) {
		return false
	}
	pc.mu.Lock()
	defer pc.mu.Unlock()
	key := ch.ProcessID()
	was := pc.notices[key].noticeState
	next := was.after(now, nt)
	pc.notices[key] = heldNotice{next, now}
	ts := pc.targets[ch.ID]
	if ts == nil || ts.ProcessID() != key {
		return false
	}
	ts.noticeState = next
	return !was.leaving && (next.leaving || !was.paused(now) && next.paused(now))
}

// after returns the state after a notice. Of two pauses, the one that ends last counts.
func (ns noticeState) after(now time.Time, nt Notice) noticeState {
	ns.leaving = ns.leaving || nt.Leaving
	pause := min(nt.Pause, maxPause)
	if until := now.Add(pause); pause > 0 && until.After(ns.pausedUntil) {
		ns.pausedUntil, ns.returnTime = until, min(max(pause/2, minReturnTime), maxReturnTime)
	}
	return ns
}

func (ns noticeState) paused(now time.Time) bool { return now.Before(ns.pausedUntil) }

// returned returns the fraction of requests that the target may get again after its pause.
func (ns noticeState) returned(now time.Time) float64 {
	since := now.Sub(ns.pausedUntil)
	switch {
	case since < 0:
		return 0
	case since >= ns.returnTime:
		return 1
	}
	return firstReturnFraction + (1-firstReturnFraction)*float64(since)/float64(ns.returnTime)
}

// opensAt returns when a request may be sent to the target again after its pause, given a position of the request in [0, 1).
func (ns noticeState) opensAt(position float64) time.Time {
	late := max(position-firstReturnFraction, 0) / (1 - firstReturnFraction)
	return ns.pausedUntil.Add(time.Duration(late * float64(ns.returnTime)))
}

func (tg *Target) process() process { return process{tg.StartUnixMilli, tg.Address} }

// ProcessID identifies the process that the registration is of.
func (tg *Target) ProcessID() ProcessID { return ProcessID{tg.ID, tg.process()} }

// restoreNotice applies the notice that the process of a registered target has given before. Notices are kept by process and not by
// name: an old registration of a process that was replaced may come back, from the store or from a VM that relays it.
func (pc *Placer) restoreNotice(now time.Time, ts *targetState) {
	key := ts.ProcessID()
	if hn, ok := pc.notices[key]; ok {
		ts.noticeState = hn.noticeState
		pc.notices[key] = heldNotice{hn.noticeState, now}
	}
}

// forgetNotices forgets the notices that have no effect any more, and those of processes whose registration was not seen for
// leavingMemory.
func (pc *Placer) forgetNotices(now time.Time) {
	for key, hn := range pc.notices {
		if !hn.leaving && hn.returned(now) >= 1 || now.Sub(hn.seen) >= max(leavingMemory, maxPause) {
			delete(pc.notices, key)
		}
	}
}

// position returns the position of requests on an object among those that return to the target after its pause. It differs between
// VMs, so that requests on one object do not return from all VMs at the same moment.
func (pc *Placer) position(ts *targetState, object uint64) float64 {
	return unitOf(rendezvous.Mix(ts.hash ^ rendezvous.Mix(object^pc.selfHash)))
}

// closed reports whether the target gets no requests of this VM, for reasons other than failures.
func (ts *targetState) closed(now time.Time) bool { return ts.shut() || ts.paused(now) }

// shut reports whether the target gets no requests of this VM until its registration or an evacuation changes.
func (ts *targetState) shut() bool { return ts.Draining || ts.leaving || ts.evacuated || ts.misplaced }

// openFor reports whether the target gets requests of this VM on an object, apart from failures.
func (pc *Placer) openFor(now time.Time, ts *targetState, object uint64) bool {
	return !ts.closed(now) && (ts.returned(now) >= 1 || !now.Before(ts.opensAt(pc.position(ts, object))))
}

// noTarget returns the refusal of a request for which no target is usable. If all targets that could serve it later have asked for a
// pause, the caller may return at the end of the first pause.
func (pc *Placer) noTarget(now time.Time, pl *pool, rq *Request, object uint64, region id.Region) *Refusal {
	rf := &Refusal{Reason: NoTarget, RetryAfter: noTargetRetryAfter, Region: region}
	if pause, ok := pc.poolPause(now, pl, rq, object); ok {
		rf.RetryAfter, rf.Paused = max(pause, minRetryAfter), true
	}
	return rf
}

// poolPause reports whether all targets that could serve the request later have asked for a pause, and the time until the end of the
// first one. If one has ended, it returns the time until this request may be sent.
func (pc *Placer) poolPause(now time.Time, pl *pool, rq *Request, object uint64) (time.Duration, bool) {
	var soonest time.Duration
	found := false
	for _, ts := range pl.targets {
		if ts.shut() || rq.Allowed != nil && !rq.Allowed(ts.Region) {
			continue
		}
		if pc.openFor(now, ts, object) {
			return 0, false
		}
		until := ts.pausedUntil
		if !ts.paused(now) {
			until = ts.opensAt(pc.position(ts, object))
		}
		if pause := until.Sub(now); !found || pause < soonest {
			soonest, found = pause, true
		}
	}
	return soonest, found
}

// MaySend reports whether a request for which a target was chosen may still be sent there. It may not if the target has begun to leave
// or to pause since, or if its registration has changed.
func (pc *Placer) MaySend(now time.Time, ch *Choice) bool {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	ts := pc.targets[ch.ID]
	return ts != nil && ts.process() == ch.process() && !ts.closed(now)
}
