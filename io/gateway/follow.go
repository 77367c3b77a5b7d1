package gateway

import (
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

// source connects an informer to the control loop.
type source struct {
	ct   *Control
	kind objects.Kind
}

func (sr *source) apply(sn objects.Snapshot, changed bool) {
	if !sn.Relayed {
		sr.ct.mirror.Apply(sr.kind, sn)
		if sr.kind == sr.ct.Adapter.Kinds().Config {
			sr.ct.answered.Store(int64(sr.ct.Lease.Now()))
		}
	}
	sr.ct.inbox <- snapshotMsg{sr.kind, sn, changed}
}

// follows reports whether this VM follows the store closely.
func (ct *Control) follows() bool {
	since := time.Duration(int64(ct.Lease.Now()) - ct.answered.Load())
	return ct.reader.Load() && since < readerWait+relayFor
}

// relay returns the VM that is followed in place of the store.
func (ct *Control) relay() (string, bool) {
	address := ct.source.Load()
	if ct.reader.Load() || ct.wantRead.Load() || address == nil {
		return "", false
	}
	return *address, true
}

func (sr *source) wait() time.Duration {
	switch {
	case sr.ct.quick[sr.kind].Swap(false):
		return time.Millisecond
	case sr.kind == sr.ct.Adapter.Kinds().Config && (sr.ct.reader.Load() || sr.ct.wantRead.Load()):
		return readerWait
	default:
		return longWait
	}
}

// catchUp renews watches that miss what other VMs have seen, and asks for evidence if the lease is about to end.
func (ct *Control) catchUp(now time.Time) {
	for kind, pg := range ct.progress {
		if !pg.behind(now) {
			continue
		}
		ct.quick[kind].Store(true)
		ct.informers[kind].Kick()
		ct.Log.Info("watch missed a change", "kind", string(kind))
	}
	age, ok := ct.Lease.Age()
	old := !ok || age > ownEvidence
	config := ct.Adapter.Kinds().Config
	ct.wantRead.Store(old)
	if old && !now.Before(ct.nextRead) && ct.listed[config] && !ct.reader.Load() {
		ct.nextRead = now.Add(readAgain)
		ct.quick[config].Store(true)
		ct.informers[config].Kick()
	}
}

// setSource chooses the VM to follow: one that follows the store, in the own region if there is one.
func (ct *Control) setSource(now time.Time, members []roster.Member) {
	var near, far []string
	for nr := range members {
		mb := &members[nr]
		switch {
		case !mb.Alive(now) || mb.Status.RelayAddress == "":
		case mb.Region == ct.self.Region:
			near = append(near, mb.Status.RelayAddress)
		default:
			far = append(far, mb.Status.RelayAddress)
		}
	}
	if len(near) == 0 {
		near = far
	}
	key := rendezvous.Hash(string(ct.self.VM))
	if address, ok := rendezvous.Pick(key, near); ok {
		ct.source.Store(&address)
	} else {
		ct.source.Store(nil)
	}
}

// candidate is a VM that may read the store for the others.
type candidate struct {
	name     id.VM
	linkRate float64 // Mbit/s
}

const (
	// leastReaders is the number of readers in a small fleet. Larger ones have one for followersPerReader VMs, because a
	// reader sends each change to all that follow it.
	leastReaders       = 3
	followersPerReader = 12
)

// chooseReaders returns the VMs that read the store for the others: out of groups of equal size, the one with the fastest link.
// All VMs that see the same fleet choose the same ones. The candidates are sorted by name.
func chooseReaders(all []candidate) []id.VM {
	groups := min(max(leastReaders, len(all)/followersPerReader), len(all))
	chosen := make([]id.VM, 0, groups)
	for nr := range groups {
		group := all[nr*len(all)/groups : (nr+1)*len(all)/groups]
		best := group[0]
		for _, cd := range group {
			if cd.linkRate > best.linkRate {
				best = cd
			}
		}
		chosen = append(chosen, best.name)
	}
	return chosen
}
