package gateway

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

// informerSource connects the informer of one kind to the control loop.
type informerSource struct {
	ct   *Controller
	kind objects.Kind
	// Used only by the goroutine of the informer:
	nextProbe time.Time // earliest time of the next probe of a silent store
	probing   bool      // the next request is such a probe
	outdated  bool      // the source has an older configuration than this VM
}

// apply passes a snapshot to the mirror and the control loop. It runs on the goroutine of the informer.
func (sr *informerSource) apply(sn objects.Snapshot, changed bool) {
	ct := sr.ct
	ev := snapshotEvent{kind: sr.kind, changed: changed}
	if sr.kind == ct.Adapter.Kinds().Config {
		ev.config = sr.keepNewest(&sn, changed)
	}
	ev.sn = sn
	ct.mirror.Apply(sr.kind, sn)
	if sr.kind == ct.Adapter.Kinds().Config && !sn.Relayed {
		ct.lastStoreResponse.Store(int64(ct.Lease.Now()))
		if sn.FromList {
			ct.confirmCopies(sn)
		}
	}
	ct.inbox <- ev
}

// confirmCopies confirms the copies of the other kinds by a list of the configuration: it has the revision of the whole store, so
// a copy that is known up to this revision is complete. A reader asks the store at once about a copy that is not, if its age has
// reached copyCheckAge. Otherwise a watch that gets no response, or the pause after a failure, could keep it for longer.
func (ct *Controller) confirmCopies(list objects.Snapshot) {
	for kind, in := range ct.informers {
		if kind == ct.Adapter.Kinds().Config || ct.mirror.Confirm(kind, list.Revision, list.RequestedAt) {
			continue
		}
		if age, _, ok := ct.mirror.Age(kind); ok && age > ct.copyCheckAge(kind) && ct.isReader.Load() {
			ct.shortWatch[kind].Store(true)
			in.Interrupt()
		}
	}
}

// copyCheckAge returns the age at which a reader asks the store about its copy of a kind.
func (ct *Controller) copyCheckAge(kind objects.Kind) time.Duration {
	if kind == ct.Adapter.Kinds().VMs {
		return vmsCheckAge
	}
	return targetsCheckAge
}

// copyLimit returns the age up to which this VM serves its copy of a kind to others, see objects.CopyLimit. Copies that have passed
// through more than one other VM are not served, which keeps the chains short.
func (ct *Controller) copyLimit(kind objects.Kind, hops int) time.Duration {
	limit := configPollInterval + sourceGrace
	if kind != ct.Adapter.Kinds().Config {
		limit += ct.copyCheckAge(kind)
	}
	switch hops {
	case 0:
		return limit
	case 1:
		return limit + objects.MaxRelayWait + relayGrace
	default:
		return 0
	}
}

// servesCopies reports whether this VM serves copies of all kinds.
func (ct *Controller) servesCopies() bool {
	for kind := range ct.informers {
		if !ct.mirror.Serves(kind) {
			return false
		}
	}
	return true
}

// exportCopies exports the ages of the copies as metrics.
func (ct *Controller) exportCopies() {
	for kind := range ct.informers {
		if age, hops, ok := ct.mirror.Age(kind); ok {
			ct.Server.op.Metrics.setCopyAge(kind, age, hops)
		}
	}
}

// sinceStoreResponse returns the time since the store's last response about the configuration.
func (ct *Controller) sinceStoreResponse() time.Duration {
	return time.Duration(int64(ct.Lease.Now()) - ct.lastStoreResponse.Load())
}

// followsStore reports whether this VM is a reader and has recent copies.
func (ct *Controller) followsStore() bool {
	return ct.isReader.Load() && !ct.lostStore() && ct.servesCopies()
}

// storeSilent reports whether this VM has had no response of the store for a while. A VM that reads the store itself then follows
// other VMs, so that it need not refuse requests, and probes the store every storeProbeInterval.
func (ct *Controller) storeSilent() bool {
	return ct.sinceStoreResponse() >= configPollInterval+sourceGrace
}

// lostStore reports whether this VM is a reader without responses of the store.
func (ct *Controller) lostStore() bool { return ct.isReader.Load() && ct.storeSilent() }

// followsReader reports whether this VM has recent copies from a VM that reads the store.
func (ct *Controller) followsReader() bool {
	return !ct.isReader.Load() && ct.sourceIsReader.Load() && ct.servesCopies()
}

// readsStore reports whether this VM reads the kind from the store itself. If the lease is old, it reads the configuration there,
// because only the store's responses renew the lease without other VMs.
func (sr *informerSource) readsStore() bool {
	ct := sr.ct
	return ct.isReader.Load() || sr.kind == ct.Adapter.Kinds().Config && ct.wantRead.Load()
}

// sourceAddresses returns the addresses of the VMs to read from, or none to read the store.
func (sr *informerSource) sourceAddresses() []string {
	all := sr.ct.sources.Load()
	direct := sr.readsStore()
	if direct && sr.ct.storeSilent() {
		direct = sr.probing
	}
	if direct || all == nil {
		return nil
	}
	return *all
}

// expectsInterrupt reports whether this VM may wait for other VMs to read the store. It is interrupted as soon as there is
// one to read from.
func (ct *Controller) expectsInterrupt() bool {
	return !ct.isReader.Load() && ct.Roster.HeardByPeer(time.Now(), roster.AliveFor)
}

// watchWait returns how long the next watch waits for changes.
func (sr *informerSource) watchWait() time.Duration {
	if sr.ct.shortWatch[sr.kind].Swap(false) {
		return time.Millisecond
	}
	return watchWait
}

// pollInterval makes readers, and VMs whose lease is old, list the configuration periodically. Each list response proves that
// the configuration is the newest one. While the store is silent, they list it only to probe the store, if they can follow other VMs: a
// VM that has no newer configuration can't renew its lease by the reports of others.
func (sr *informerSource) pollInterval() (time.Duration, bool) {
	ct := sr.ct
	sr.probing = false
	switch {
	case sr.kind != ct.Adapter.Kinds().Config || !sr.readsStore():
		return 0, false
	case ct.storeSilent():
		sr.probing = sr.probeDue(time.Now())
		return configPollInterval, sr.probing
	default:
		return configPollInterval, true
	}
}

// probeDue reports whether the store is asked now although it was silent.
func (sr *informerSource) probeDue(now time.Time) bool {
	others := sr.ct.sources.Load()
	if others != nil && len(*others) > 0 && now.Before(sr.nextProbe) {
		return false
	}
	sr.nextProbe = now.Add(storeProbeInterval)
	return true
}

// seedsOf returns the addresses of the VMs to ask for lists after the start. A VM that is a seed itself asks the store.
func seedsOf(gs *config.GatewaySettings) []string {
	if slices.Contains(gs.Seeds, gs.RelayAddress) {
		return nil
	}
	return gs.Seeds
}

// catchUp restarts watches that lack changes seen by other VMs, at another VM if there is one, and all watches when a reader loses the
// store or regains it. It reads the configuration from the store if the lease is old.
func (ct *Controller) catchUp(now time.Time) {
	if lost := ct.lostStore(); lost != ct.lost {
		ct.lost = lost
		ct.interruptAll()
	}
	for kind, pg := range ct.progress {
		if !pg.stalled(now) {
			continue
		}
		ct.relays[kind].AvoidSource()
		ct.shortWatch[kind].Store(true)
		ct.informers[kind].Interrupt()
		ct.Log.Info("watch missed a change", "kind", string(kind))
	}
	age, ok := ct.Lease.Age()
	limit := leaseReadAge
	if ct.Roster.IsAggregator(now) {
		limit = leaseReadAgeAggregator
	}
	old := !ok || age > limit
	config := ct.Adapter.Kinds().Config
	ct.wantRead.Store(old)
	if old && !now.Before(ct.nextRead) && ct.loaded[config] && !ct.isReader.Load() {
		ct.nextRead = now.Add(readRetryInterval)
		ct.informers[config].Interrupt()
	}
}

// maxSources is the number of VMs that are chosen to read from. The others stand in for the first one if it fails.
const maxSources = 3

// updateSource chooses the VMs to read from. Aggregators read from a reader of the store, and other VMs from a VM of their
// failure domain that is a reader or reads from one. This way each reader serves only a few VMs.
func (ct *Controller) updateSource(now time.Time, members []roster.Member) {
	aggregator := ct.Roster.IsAggregator(now)
	var ranks [3][]string // addresses, in order of preference
	add := func(rank int, mb *roster.Member) { ranks[rank] = append(ranks[rank], mb.RelayAddress) }
	firstHand := map[string]bool{}
	for nr := range members {
		mb := &members[nr]
		reads := mb.State.Has(roster.ReadsStore)
		firstHand[mb.RelayAddress] = reads
		switch {
		case !mb.Alive(now) || mb.RelayAddress == "":
		case mb.FailureDomain == ct.self.FailureDomain && (reads || !aggregator && mb.State.Has(roster.RelaysStore)):
			add(0, mb)
		case reads && mb.Region == ct.self.Region:
			add(1, mb)
		case reads:
			add(2, mb)
		}
	}
	chosen := chooseSources(rendezvous.Hash(string(ct.self.VM)), ranks[:])
	ct.switchSources(chosen, len(chosen) > 0 && firstHand[chosen[0]])
}

// chooseSources returns up to maxSources of the addresses, those of earlier ranks first. Different keys choose differently within a
// rank.
func chooseSources(key uint64, ranks [][]string) []string {
	var chosen []string
	for _, rank := range ranks {
		left := slices.Clone(rank)
		for len(chosen) < maxSources {
			address, ok := rendezvous.Pick(key, left)
			if !ok {
				break
			}
			chosen = append(chosen, address)
			left = slices.DeleteFunc(left, func(other string) bool { return other == address })
		}
	}
	return chosen
}

// switchSources sets the VMs to read from. If the first one changes, the current watches are interrupted.
func (ct *Controller) switchSources(chosen []string, firstHand bool) {
	ct.sourceIsReader.Store(firstHand)
	before := ct.sources.Swap(&chosen)
	if before == nil && len(chosen) == 0 || before != nil && slices.Equal((*before)[:min(1, len(*before))], chosen[:min(1, len(chosen))]) {
		return
	}
	ct.interruptAll()
}

// interruptAll ends the current watches, so that the next ones begin at another VM or at the store.
func (ct *Controller) interruptAll() {
	for _, in := range ct.informers {
		in.Interrupt()
	}
}

// candidate is an aggregator that may become a reader of the store.
type candidate struct {
	name     id.VM
	region   id.Region
	linkRate float64 // Mbit/s
}

const (
	// minReaders is the number of readers in a small fleet. A larger one has a reader for every aggregatorsPerReader
	// aggregators, because a reader sends each change to all VMs that read from it.
	minReaders           = 3
	aggregatorsPerReader = 16
)

// chooseReaders returns the VMs that read the store on behalf of the others. It takes one VM of each region in turn,
// beginning with the fastest links. VMs that know the same candidates choose the same readers. The candidates must be sorted
// by name.
func chooseReaders(all []candidate) []id.VM {
	byRegion := map[id.Region][]candidate{}
	for _, cd := range all {
		byRegion[cd.region] = append(byRegion[cd.region], cd)
	}
	regions := slices.Sorted(maps.Keys(byRegion))
	for _, rg := range regions {
		slices.SortStableFunc(byRegion[rg], func(aa, bb candidate) int { return cmp.Compare(bb.linkRate, aa.linkRate) })
	}
	most := min(max(minReaders, len(all)/aggregatorsPerReader), len(all))
	var chosen []id.VM
	for turn := 0; len(chosen) < most; turn++ {
		for _, rg := range regions {
			if turn < len(byRegion[rg]) && len(chosen) < most {
				chosen = append(chosen, byRegion[rg][turn].name)
			}
		}
	}
	return chosen
}
