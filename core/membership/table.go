package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"damasklatch/core/id"
)

// RemotePerDomain is the maximum number of VMs that a table keeps of each remote failure domain. With three, two may be lost
// between digests. The maximum also bounds the size of a digest: with 18 failure domains of 23 VMs it is about 1 kB.
const RemotePerDomain = 3

// Limits on the age of the last heartbeat of a VM.
const (
	// SuspectAfter is the age at which a VM becomes suspect. A heartbeat takes about four rounds of 500 ms to spread
	// through 23 VMs with one local partner per round. The rest allows for one lost digest. The age counts from the sending
	// of the heartbeat, so that updates which are still spreading do not keep a lost VM in use. Callers of a lost failure
	// domain must be served elsewhere within 3 s.
	SuspectAfter = 2500 * time.Millisecond
	// DeadAfter is the age at which a VM becomes dead.
	DeadAfter = 5 * time.Second
	// ForgetAfter is the age at which a VM is removed. It bounds the memory used for dead VMs. Digests do not contain dead
	// VMs, so a removed VM can only come back through a digest that was delayed for this long.
	ForgetAfter = 10 * time.Minute
)

// Number of VMs that a VM exchanges digests with in a round. With one of each kind, 414 VMs stay within 21 kB/s of digests.
const (
	localPartners  = 1
	remotePartners = 1
)

// Table is the membership as one VM knows it. Create it with New.
type Table struct {
	self    Entry
	members map[id.VM]*record
	byKey   map[Key]id.VM
	dropped map[Key]bool // keys of VMs that trim removed because of RemotePerDomain
	rnd     *rand.Rand
	fresh   freshness
}

type record struct {
	Entry
	state         State
	heartbeatSent time.Time // when the VM sent its newest heartbeat, by this VM's clock
}

// New returns a table of the VM self that contains no other VMs. The seed determines the random choice of partners.
func New(self Entry, seed uint64) *Table {
	return &Table{
		self:    self,
		members: make(map[id.VM]*record),
		byKey:   make(map[Key]id.VM),
		dropped: make(map[Key]bool),
		rnd:     rand.New(rand.NewPCG(seed, uint64(self.ID.Incarnation))),
		fresh:   freshness{contacts: make(map[id.FailureDomain]time.Time)},
	}
}

// UpdateSelf sets the changing values of this VM's own entry and increments its heartbeat. free holds the free slots by pool.
func (tb *Table) UpdateSelf(ready, leaving bool, free map[id.Pool]int) {
	tb.self.Ready, tb.self.Leaving, tb.self.FreeSlots = ready, leaving, free
	tb.self.Heartbeat++
}

// Self returns the VM's own entry.
func (tb *Table) Self() Entry { return tb.self }

// Merge adds the entries of a digest and returns the state changes. Of each remote failure domain it keeps only the
// RemotePerDomain first VMs in the order of compareRank, and any dead ones.
func (tb *Table) Merge(now time.Time, ens []Entry) []Transition {
	var trs []Transition
	for nr := range ens {
		if tr, ok := tb.mergeOne(now, &ens[nr]); ok {
			trs = append(trs, tr)
		}
	}
	tb.trim()
	return trs
}

// mergeOne adds an entry whose heartbeat was sent at the given time, unless the known one is as recent. It reports whether the
// state of the VM changed.
func (tb *Table) mergeOne(sent time.Time, en *Entry) (Transition, bool) {
	if en.ID.VM == tb.self.ID.VM {
		return Transition{}, false
	}
	rc, known := tb.members[en.ID.VM]
	if known && !en.newer(&rc.Entry) {
		return Transition{}, false
	}
	if !known {
		rc = new(record)
		tb.members[en.ID.VM] = rc
	}
	from := rc.state
	if rc.ID != en.ID {
		from = ""
		delete(tb.byKey, KeyOf(rc.ID))
		tb.byKey[KeyOf(en.ID)] = en.ID.VM
	}
	rc.Entry, rc.heartbeatSent, rc.state = *en, sent, Alive
	if en.Leaving {
		rc.state = Leaving
	}
	return Transition{ID: en.ID, From: from, To: rc.state}, rc.state != from
}

// trim removes the VMs of remote failure domains in excess of RemotePerDomain. Dead VMs do not count.
func (tb *Table) trim() {
	byDomain := make(map[id.FailureDomain][]*record)
	for _, rc := range tb.members {
		if rc.FailureDomain != tb.self.FailureDomain && rc.state != Dead {
			byDomain[rc.FailureDomain] = append(byDomain[rc.FailureDomain], rc)
		}
	}
	for _, rcs := range byDomain {
		if len(rcs) <= RemotePerDomain {
			continue
		}
		slices.SortFunc(rcs, compareRank)
		for _, rc := range rcs[RemotePerDomain:] {
			tb.remove(rc)
			tb.dropped[KeyOf(rc.ID)] = true
		}
	}
}

func (tb *Table) remove(rc *record) {
	delete(tb.members, rc.ID.VM)
	delete(tb.byKey, KeyOf(rc.ID))
}

// compareRank orders VMs that are alive first, and then by rank.
func compareRank(rc, ot *record) int {
	usable := func(rc *record) int {
		if rc.state == Alive {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(usable(rc), usable(ot)), cmp.Compare(rank(rc.ID.VM), rank(ot.ID.VM)))
}

// Seed adds VMs from the platform's list that the table does not contain. They are suspect until a heartbeat of them arrives.
func (tb *Table) Seed(now time.Time, ens []Entry) {
	for nr := range ens {
		en := ens[nr]
		if _, known := tb.members[en.ID.VM]; known || en.ID.VM == tb.self.ID.VM {
			continue
		}
		tb.members[en.ID.VM] = &record{Entry: en, state: Suspect, heartbeatSent: now.Add(-SuspectAfter)}
		tb.byKey[KeyOf(en.ID)] = en.ID.VM
	}
}

// Tick updates the states of all VMs by the age of their heartbeats and returns the changes, ordered by VM. It removes VMs
// after ForgetAfter.
func (tb *Table) Tick(now time.Time) []Transition {
	var trs []Transition
	for _, rc := range tb.members {
		age := now.Sub(rc.heartbeatSent)
		to := rc.state
		switch {
		case age > ForgetAfter:
			tb.remove(rc)
			continue
		case age > DeadAfter:
			to = Dead
		case age > SuspectAfter && rc.state != Dead:
			to = Suspect
		}
		if to != rc.state {
			trs = append(trs, Transition{ID: rc.ID, From: rc.state, To: to})
			rc.state = to
			// If this VM was lost, one that trim removed may take its place. MergeUpdates must therefore ask for it again.
			clear(tb.dropped)
		}
	}
	slices.SortFunc(trs, func(tr, ot Transition) int { return tr.ID.Compare(ot.ID) })
	return trs
}

// Updates returns the updates to send to a VM of the failure domain to: those of this VM and of the others that are alive or
// leaving. A VM of a remote failure domain receives only RemotePerDomain VMs of the local one, because it keeps no more.
func (tb *Table) Updates(now time.Time, to id.FailureDomain) []Update {
	var local, remote []*record
	local = append(local, &record{Entry: tb.self, state: Alive, heartbeatSent: now})
	for _, rc := range tb.members {
		switch {
		case rc.state != Alive && rc.state != Leaving:
		case rc.FailureDomain == tb.self.FailureDomain:
			local = append(local, rc)
		default:
			remote = append(remote, rc)
		}
	}
	if to != tb.self.FailureDomain {
		slices.SortFunc(local, compareRank)
		local = local[:min(len(local), RemotePerDomain)]
	}
	ups := make([]Update, 0, len(local)+len(remote))
	for _, rc := range slices.Concat(local, remote) {
		ups = append(ups, rc.update(now.Sub(rc.heartbeatSent)))
	}
	return ups
}

// MergeUpdates applies the updates of a digest. It returns the keys of unknown VMs and the state changes. The caller should ask
// the sender of the digest for the entries of the unknown VMs and pass them to Merge.
func (tb *Table) MergeUpdates(now time.Time, ups []Update) (unknown []Key, trs []Transition) {
	own := KeyOf(tb.self.ID)
	for nr := range ups {
		up := &ups[nr]
		vm, ok := tb.byKey[up.Key]
		switch {
		case up.Key == own:
		case ok:
			en := tb.members[vm].withUpdate(up)
			if tr, changed := tb.mergeOne(now.Add(-up.Age), &en); changed {
				trs = append(trs, tr)
			}
		case !tb.dropped[up.Key]:
			unknown = append(unknown, up.Key)
		}
	}
	return unknown, trs
}

// Entries returns the entries with the given keys. It skips unknown keys.
func (tb *Table) Entries(keys []Key) []Entry {
	own := KeyOf(tb.self.ID)
	var ens []Entry
	for _, ky := range keys {
		if ky == own {
			ens = append(ens, tb.self)
		} else if vm, ok := tb.byKey[ky]; ok {
			ens = append(ens, tb.members[vm].Entry)
		}
	}
	return ens
}

// Members returns all other VMs, ordered by name.
func (tb *Table) Members() []Member {
	mbs := make([]Member, 0, len(tb.members))
	for _, rc := range tb.members {
		mbs = append(mbs, Member{Entry: rc.Entry, State: rc.state})
	}
	slices.SortFunc(mbs, func(mb, ot Member) int { return mb.ID.Compare(ot.ID) })
	return mbs
}

// Member returns another VM. It reports false if the table does not contain it.
func (tb *Table) Member(vm id.VM) (Member, bool) {
	rc, ok := tb.members[vm]
	if !ok {
		return Member{}, false
	}
	return Member{Entry: rc.Entry, State: rc.state}, true
}

// Partners returns random VMs to exchange digests with in this round, from the local failure domain and from remote ones. It
// occasionally includes a dead VM, because after a partition has healed each side still takes the other for dead.
func (tb *Table) Partners() []Entry {
	var local, remote []Entry
	for _, mb := range tb.Members() {
		switch {
		case mb.State == Dead && tb.rnd.IntN(deadPartnerOdds) != 0:
		case mb.FailureDomain == tb.self.FailureDomain:
			local = append(local, mb.Entry)
		default:
			remote = append(remote, mb.Entry)
		}
	}
	return append(tb.sample(local, localPartners), tb.sample(remote, remotePartners)...)
}

// deadPartnerOdds is the denominator of the probability that Partners considers a dead VM: 1 in 8.
const deadPartnerOdds = 8

// sample shuffles ens in place and returns up to size of them.
func (tb *Table) sample(ens []Entry, size int) []Entry {
	tb.rnd.Shuffle(len(ens), func(la, lb int) { ens[la], ens[lb] = ens[lb], ens[la] })
	return ens[:min(size, len(ens))]
}

// WatchesStore reports whether this VM is one of the count VMs of its failure domain that watch the store. These are the VMs
// of lowest rank among those alive, so another VM takes over when one of them is lost.
func (tb *Table) WatchesStore(count int) bool {
	own, lower := rank(tb.self.ID.VM), 0
	for _, rc := range tb.members {
		if rc.FailureDomain == tb.self.FailureDomain && rc.state == Alive && rank(rc.ID.VM) < own {
			lower++
		}
	}
	return lower < count
}
