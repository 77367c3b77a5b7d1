package gateway

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/placement"
	"damasklatch/core/restore"
	"damasklatch/io/objects"
)

// restoredStore keeps in force what a store that was restored from a copy may have lost. It is used only by the control loop.
type restoredStore struct {
	known   bool // era is known
	era     objects.Era
	at      time.Time                           // when this VM learned of the last restore; zero if there was none
	targets restore.Memory[placement.ProcessID] // that drain, or that were removed
	domains restore.Memory[id.FailureDomain]    // that were evacuated
}

// enter records the era of a response. It reports whether the store was restored since the responses before.
func (rs *restoredStore) enter(now time.Time, era objects.Era) bool {
	if rs.known && era <= rs.era {
		return false
	}
	restored := rs.known
	rs.known, rs.era = true, era
	if !restored {
		return false
	}
	rs.at = now
	rs.targets.Restored(now)
	rs.domains.Restored(now)
	return true
}

// noteTargets records which targets drain or were removed, and which are in use again.
func (rs *restoredStore) noteTargets(now time.Time, before, after map[string]placement.Target) {
	for name, tg := range before {
		if next, ok := after[name]; !ok || next.ProcessID() != tg.ProcessID() {
			rs.targets.Withdraw(now, tg.ProcessID())
		}
	}
	for _, tg := range after {
		switch {
		case tg.Draining:
			rs.targets.Withdraw(now, tg.ProcessID())
		case !rs.targets.Holds(now, tg.ProcessID()):
			rs.targets.Release(tg.ProcessID())
		}
	}
}

// noteEvacuated records which failure domains are evacuated, and which were taken back.
func (rs *restoredStore) noteEvacuated(now time.Time, before, after map[id.FailureDomain]bool) {
	for name := range after {
		rs.domains.Withdraw(now, name)
	}
	for name := range before {
		if !after[name] && !rs.domains.Holds(now, name) {
			rs.domains.Release(name)
		}
	}
}

// noteEra records the era of a response of the store.
func (ct *Controller) noteEra(now time.Time, era objects.Era) {
	if !ct.restored.enter(now, era) {
		return
	}
	ct.registered = true // if the registration is missing now, it was lost
	ct.Server.op.Metrics.countRestore()
	ct.Log.Warn("store was restored from a copy, what it acknowledged last may be lost", "era", int64(era),
		"targets_held", len(ct.restored.targets.Held(now)), "failure_domains_held", len(ct.restored.domains.Held(now)))
	ct.publishTargets(now)
	ct.publishEvacuated(now)
}

// endRestore lets the store decide again once owners have had time to write again what it has lost.
func (ct *Controller) endRestore(now time.Time) {
	if ct.restored.targets.Prune(now) {
		ct.publishTargets(now)
	}
	if ct.restored.domains.Prune(now) {
		ct.publishEvacuated(now)
	}
}

// keepRegistered renews the registration of this VM if the store had it and has it no more.
func (ct *Controller) keepRegistered(registered bool) {
	if ct.registered && !registered {
		ct.Log.Warn("registration of this VM is missing in the store and is written again")
		ct.renewRegistration()
	}
	ct.registered = ct.registered || registered
}

// laterOf returns the later of two times.
func laterOf(aa, bb time.Time) time.Time {
	if aa.After(bb) {
		return aa
	}
	return bb
}
