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

// source connects an informer to the control loop.
type source struct {
	ct   *Controller
	kind objects.Kind
}

func (sr *source) apply(sn objects.Snapshot, changed bool) {
	sr.ct.mirror.Apply(sr.kind, sn)
	if sr.kind == sr.ct.Adapter.Kinds().Config {
		last := &sr.ct.answered
		if sn.Relayed {
			last = &sr.ct.relayed
		}
		last.Store(int64(sr.ct.Lease.Now()))
	}
	sr.ct.inbox <- snapshotMsg{sr.kind, sn, changed}
}

// sinceAnswer returns the time since the last answer of the store.
func (ct *Controller) sinceAnswer() time.Duration {
	return time.Duration(int64(ct.Lease.Now()) - ct.answered.Load())
}

// follows reports whether this VM follows the store closely.
func (ct *Controller) follows() bool {
	return ct.reader.Load() && ct.sinceAnswer() < readEvery+relayFor
}

// relays reports whether this VM closely follows one that reads the store.
func (ct *Controller) relays() bool {
	since := time.Duration(int64(ct.Lease.Now()) - ct.relayed.Load())
	return !ct.reader.Load() && ct.firstHand.Load() && since < objects.MaxRelayWait+relayFor
}

// serves reports whether other VMs may read what this one knows of the store.
func (ct *Controller) serves() bool { return ct.sinceAnswer() < readEvery+relayFor || ct.relays() }

// relay returns the VM that is followed in place of the store. Evidence for an old lease comes from the store only.
func (sr *source) relay() (string, bool) {
	ct := sr.ct
	address := ct.source.Load()
	evidence := sr.kind == ct.Adapter.Kinds().Config && ct.wantRead.Load()
	if ct.reader.Load() || evidence || address == nil {
		return "", false
	}
	return *address, true
}

// patient reports whether others read the store for this VM, which follows them as soon as they can.
func (ct *Controller) patient() bool {
	return !ct.reader.Load() && ct.Roster.HeardByPeer(time.Now(), roster.AliveFor)
}

func (sr *source) wait() time.Duration {
	if sr.ct.quick[sr.kind].Swap(false) {
		return time.Millisecond
	}
	return longWait
}

// poll lets readers, and VMs whose lease is old, list the configuration: the answer is evidence that it is the newest.
func (sr *source) poll() (time.Duration, bool) {
	if sr.kind != sr.ct.Adapter.Kinds().Config || !sr.ct.reader.Load() && !sr.ct.wantRead.Load() {
		return 0, false
	}
	return readEvery, true
}

// seedsOf returns the VMs that a VM asks when it starts. A seed asks the store.
func seedsOf(gs *config.GatewaySettings) []string {
	if slices.Contains(gs.Seeds, gs.RelayAddress) {
		return nil
	}
	return gs.Seeds
}

// catchUp renews watches that miss what other VMs have seen, and asks for evidence if the lease is about to end.
func (ct *Controller) catchUp(now time.Time) {
	for kind, pg := range ct.progress {
		if !pg.behind(now) {
			continue
		}
		ct.quick[kind].Store(true)
		ct.informers[kind].Interrupt()
		ct.Log.Info("watch missed a change", "kind", string(kind))
	}
	age, ok := ct.Lease.Age()
	limit := ownEvidence
	if ct.Roster.IsAggregator(now) {
		limit = speakerEvidence
	}
	old := !ok || age > limit
	config := ct.Adapter.Kinds().Config
	ct.wantRead.Store(old)
	if old && !now.Before(ct.nextRead) && ct.listed[config] && !ct.reader.Load() {
		ct.nextRead = now.Add(readAgain)
		ct.informers[config].Interrupt()
	}
}

// setSource chooses the VM to follow. Speakers follow a VM that reads the store, the others one of their failure domain that
// follows such a VM, so that each reader serves a few.
func (ct *Controller) setSource(now time.Time, members []roster.Member) {
	speaks := ct.Roster.IsAggregator(now)
	var ranks [3][]string // in order of preference
	add := func(rank int, mb *roster.Member) { ranks[rank] = append(ranks[rank], mb.RelayAddress) }
	firstHand := map[string]bool{}
	for nr := range members {
		mb := &members[nr]
		reads := mb.State.Has(roster.ReadsStore)
		firstHand[mb.RelayAddress] = reads
		switch {
		case !mb.Alive(now) || mb.RelayAddress == "":
		case mb.FailureDomain == ct.self.FailureDomain && (reads || !speaks && mb.State.Has(roster.RelaysStore)):
			add(0, mb)
		case reads && mb.Region == ct.self.Region:
			add(1, mb)
		case reads:
			add(2, mb)
		}
	}
	key := rendezvous.Hash(string(ct.self.VM))
	for _, rank := range ranks {
		if address, ok := rendezvous.Pick(key, rank); ok {
			ct.follow(&address, firstHand[address])
			return
		}
	}
	ct.follow(nil, false)
}

// follow changes the VM to follow. Watches at another one are given up.
func (ct *Controller) follow(address *string, firstHand bool) {
	ct.firstHand.Store(firstHand)
	before := ct.source.Swap(address)
	if before == nil && address == nil || before != nil && address != nil && *before == *address {
		return
	}
	for _, in := range ct.informers {
		in.Interrupt()
	}
}

// candidate is a speaker that may read the store for the others.
type candidate struct {
	name     id.VM
	region   id.Region
	linkRate float64 // Mbit/s
}

const (
	// leastReaders is the number of readers in a small fleet. Larger ones have one more for speakersPerReader speakers, because a
	// reader sends each change to all that follow it.
	leastReaders      = 3
	speakersPerReader = 16
)

// chooseReaders returns the VMs that read the store for the others: in turn from each region the one with the fastest link. All
// VMs that see the same speakers choose the same ones. The candidates are sorted by name.
func chooseReaders(all []candidate) []id.VM {
	byRegion := map[id.Region][]candidate{}
	for _, cd := range all {
		byRegion[cd.region] = append(byRegion[cd.region], cd)
	}
	regions := slices.Sorted(maps.Keys(byRegion))
	for _, rg := range regions {
		slices.SortStableFunc(byRegion[rg], func(aa, bb candidate) int { return cmp.Compare(bb.linkRate, aa.linkRate) })
	}
	most := min(max(leastReaders, len(all)/speakersPerReader), len(all))
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
