package daemon

import (
	"cmp"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/keyring"
	"damasklatch/core/limit"
	"damasklatch/core/lookup"
	"damasklatch/core/membership"
	"damasklatch/io/entry"
	"damasklatch/io/peer"
	"damasklatch/io/peer/peerpb"
)

// storeWatchers is the number of VMs of a failure domain that watch the store. With two, the loss of one VM does not
// delay a change. More would load the store, because it counts a waiting watch as a call.
const storeWatchers = 2

// watchFlag says whether this VM watches the store. The control goroutine sets it and the follower's goroutine reads it.
type watchFlag struct{ on atomic.Bool }

func (wf *watchFlag) set(on bool) { wf.on.Store(on) }

// WatchesStore reports whether this VM is one of the VMs of its failure domain that watch the store. Any goroutine may
// call it.
func (ct *Controller) WatchesStore() bool { return ct.watchFlag.on.Load() }

// needsEvidence reports whether the freshness rule for keys is enabled. Only then does the follower call the store just
// to prove that it is reachable.
func (ct *Controller) needsEvidence() bool {
	cfg := ct.Config()
	return cfg != nil && cfg.Settings.KeyFreshness > 0
}

// publish passes the current state to the goroutines that serve requests.
func (ct *Controller) publish(now time.Time) {
	st := &entry.State{Leaving: ct.leaving}
	if ct.cfg == nil {
		st.NotReadyReason = notReadyReason
		ct.Server.SetState(st)
		return
	}
	st.Ready = true
	st.Config, st.Lookup, st.Ring = ct.cfg, ct.table, ct.ring
	st.View = lookup.NewView(ct.usableVMs())
	st.KeysFreshUntil = ct.freshUntil(now)
	ct.Server.SetState(st)
}

// maxFreshness bounds the time for which keys count as fresh. FreshFor returns a longer time if the freshness rule is
// disabled, and adding that to the current time would overflow.
const maxFreshness = 365 * 24 * time.Hour

const notReadyReason = "no configuration yet: neither the platform store nor a peer has returned one"

// usableVMs returns the VMs that a look-up may return.
func (ct *Controller) usableVMs() []lookup.VM {
	var vms []lookup.VM
	if !ct.leaving {
		vms = append(vms, steerVM(ct.Members.Self(), ct.freeSlots()))
	}
	for _, mb := range ct.Members.Members() {
		if mb.State == membership.Alive && mb.Ready {
			vms = append(vms, steerVM(mb.Entry, mb.FreeSlots))
		}
	}
	return vms
}

func steerVM(en membership.Entry, free map[id.Pool]int) lookup.VM {
	return lookup.VM{ID: en.ID, FailureDomain: en.FailureDomain, CallerAddress: en.CallerAddress, FreeSlots: free}
}

// freshUntil returns the time until which the freshness rule allows this VM to accept keys. If the keys are not fresh,
// the result is not after now.
func (ct *Controller) freshUntil(now time.Time) time.Time {
	ev := keyring.Evidence{StoreAge: keyring.NoEvidence, ContactAges: make(map[id.FailureDomain]time.Duration)}
	if age, ok := ct.Members.StoreAge(now); ok {
		ev.StoreAge = age
	}
	for _, ag := range ct.Members.ContactAges(now) {
		ev.ContactAges[ag.FailureDomain] = ag.Age
	}
	domains := make([]id.FailureDomain, 0, len(ct.cfg.FailureDomains))
	for _, fd := range ct.cfg.FailureDomains {
		domains = append(domains, fd.Name)
	}
	remaining := keyring.FreshFor(ct.cfg.Settings.KeyFreshness, ct.Self.FailureDomain, domains, ev)
	return now.Add(min(remaining, maxFreshness))
}

// status returns the status of the daemon for the operator.
func (ct *Controller) status(now time.Time) *peerpb.StatusReply {
	rp := &peerpb.StatusReply{
		Id:            peer.EncodeID(ct.Self.ID),
		FailureDomain: string(ct.Self.FailureDomain),
		Ready:         ct.cfg != nil,
		Generation:    uint64(ct.generation()),
	}
	if ct.cfg == nil {
		rp.NotReadyReason = notReadyReason
		return rp
	}
	rp.GenerationSinceUnixNanos = ct.inForceSince.UnixNano()
	rp.KeysFresh = now.Before(ct.freshUntil(now))
	if age, ok := ct.Members.StoreAge(now); ok {
		ms := uint32(age.Milliseconds())
		rp.StoreEvidenceAgeMs = &ms
	}
	for _, mb := range ct.Members.Members() {
		rp.Members = append(rp.Members, &peerpb.MemberStatus{Entry: peer.EncodeEntry(mb.Entry), State: string(mb.State)})
	}
	for _, rs := range ct.Ledger.Status(now) {
		rp.Resources = append(rp.Resources, peer.EncodeResource(rs))
	}
	rp.Targets = ct.targets(now)
	return rp
}

// targets returns the status of the targets of this VM's failure domain, sorted by name.
func (ct *Controller) targets(now time.Time) []*peerpb.TargetStatus {
	var tgs []*peerpb.TargetStatus
	for pool, statuses := range ct.Targets.Status(now) {
		for _, st := range statuses {
			// A target has at most a million slots.
			tgs = append(tgs, &peerpb.TargetStatus{
				Target: string(st.Target), Pool: string(pool), State: string(st.State),
				InFlight: int32(st.InFlight), Slots: int32(st.SlotLimit), //nolint:gosec // bounded by the configuration
			})
		}
	}
	slices.SortFunc(tgs, func(ta, tb *peerpb.TargetStatus) int { return cmp.Compare(ta.GetTarget(), tb.GetTarget()) })
	return tgs
}

func formatGeneration(gen id.Generation) string { return fmt.Sprintf("generation %d", gen) }

func formatOwned(ow limit.OwnedFractions) string {
	return fmt.Sprintf("owns %d ppm of the fleet, failure domain %d ppm", ow.PPM, ow.FailureDomainPPM)
}

func formatLoan(gr limit.Grant, other id.VMIncarnation) string {
	return fmt.Sprintf("%s: rate %d milli/s, burst %d milli for %s", other, gr.Granted.Rate, gr.Granted.Burst, gr.Lifetime)
}
