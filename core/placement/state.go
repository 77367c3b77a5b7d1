package placement

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
)

// TargetState tells whether and why a VM sends no requests to a target.
type TargetState string

// States of a target, in the order in which they take precedence.
const (
	TargetLeaving   TargetState = "leaving"   // has said in a response that it is shutting down
	TargetDraining  TargetState = "draining"  // is registered as draining, or with an unknown state
	TargetEvacuated TargetState = "evacuated" // its failure domain is evacuated
	TargetMisplaced TargetState = "misplaced" // another target has responded at its address
	TargetPaused    TargetState = "paused"    // has asked this VM for a pause
	TargetEjected   TargetState = "ejected"   // could not be reached, or broke connections
	TargetReturning TargetState = "returning" // gets a growing part of the requests after a pause
	TargetUsable    TargetState = "usable"
)

// TargetStates lists every TargetState.
var TargetStates = []TargetState{
	TargetLeaving, TargetDraining, TargetEvacuated, TargetMisplaced, TargetPaused, TargetEjected, TargetReturning, TargetUsable,
}

// TargetStatus is what this VM knows about a target.
type TargetStatus struct {
	Target        id.Target
	Pool          id.Pool
	FailureDomain id.FailureDomain
	State         TargetState
	Left          time.Duration // time until the end of the pause, the return or the ejection; zero in other states
	InFlight      int           // requests of this VM
	Slots         int
	Pace          Pace // estimated pace of its machine
}

// Status returns the status of all registered targets, sorted by name.
func (pc *Placer) Status(now time.Time) []TargetStatus {
	pc.mu.Lock()
	defer pc.mu.Unlock()
	list := make([]TargetStatus, 0, len(pc.targets))
	for _, ts := range pc.targets {
		st := TargetStatus{Target: ts.ID, Pool: ts.Pool, FailureDomain: ts.FailureDomain, InFlight: ts.ownInFlight, Slots: ts.Slots, Pace: ts.pace.estimate(now)}
		st.State, st.Left = ts.state(now)
		list = append(list, st)
	}
	slices.SortFunc(list, func(aa, bb TargetStatus) int { return cmp.Compare(aa.Target, bb.Target) })
	return list
}

func (ts *targetState) state(now time.Time) (TargetState, time.Duration) {
	switch {
	case ts.leaving:
		return TargetLeaving, 0
	case ts.Draining:
		return TargetDraining, 0
	case ts.evacuated:
		return TargetEvacuated, 0
	case ts.misplaced:
		return TargetMisplaced, 0
	case ts.paused(now):
		return TargetPaused, ts.pausedUntil.Sub(now)
	case now.Before(ts.ejectedUntil):
		return TargetEjected, ts.ejectedUntil.Sub(now)
	case ts.returned(now) < 1:
		return TargetReturning, ts.pausedUntil.Add(ts.returnTime).Sub(now)
	default:
		return TargetUsable, 0
	}
}
