package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"damasklatch/core/id"
)

// RemotePerDomain is the number of VMs that are kept of a failure domain other than the own one. Three survive the loss
// of two between digests, and they bound the size of a digest: at 18 failure domains of 23 VMs it stays near 1 kB.
const RemotePerDomain = 3

// Times after the last advance of a heartbeat.
const (
	// SuspectAfter leaves room for the spread of a heartbeat through 23 VMs with one near partner a round, about four
	// rounds of 500 ms, and for a lost digest. It counts from the sending of the heartbeat, so that news which is still
	// spreading does not keep a lost VM in use. Callers of a lost failure domain have to be served elsewhere in 3 s.
	SuspectAfter = 2500 * time.Millisecond
	DeadAfter    = 5 * time.Second
	// ForgetAfter bounds the memory kept for dead VMs. Digests do not carry dead VMs, so a forgotten one returns only
	// through a digest that was delayed for as long.
	ForgetAfter = 10 * time.Minute
)

// Partners of a digest round. One of each keeps the digests at 414 VMs within 21 kB/s.
const (
	localPartners  = 1
	remotePartners = 1
)

// Table is a VM's view of the membership.
type Table struct {
	self    Entry
	members map[id.VM]*record
	byKey   map[Key]id.VM
	dropped map[Key]bool // known, but not kept because of RemotePerDomain
	rnd     *rand.Rand
	fresh   freshness
}

type record struct {
	Entry
	state         State
	heartbeatSent time.Time // when the VM sent its latest heartbeat, by the own clock
}

// New returns a table that knows only the VM itself. The seed decides the choice of partners.
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

// UpdateSelf changes what the VM tells about itself, and advances its heartbeat.
func (tb *Table) UpdateSelf(ready, leaving bool, free map[id.Pool]int) {
	tb.self.Ready, tb.self.Leaving, tb.self.FreeSlots = ready, leaving, free
	tb.self.Heartbeat++
}

// Self returns the entry of the VM itself.
func (tb *Table) Self() Entry { return tb.self }

// Merge takes in the entries of a digest. It keeps, of another failure domain, the RemotePerDomain VMs of lowest rank
// that are not dead.
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

// trim drops what exceeds RemotePerDomain in other failure domains.
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

// compareRank puts usable VMs first, then orders by rank.
func compareRank(rc, ot *record) int {
	usable := func(rc *record) int {
		if rc.state == Alive {
			return 0
		}
		return 1
	}
	return cmp.Or(cmp.Compare(usable(rc), usable(ot)), cmp.Compare(rank(rc.ID.VM), rank(ot.ID.VM)))
}

// Seed takes in VMs of the platform's list that are not known yet. They are unknown as to heartbeat, so they count as
// suspect until they are heard.
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

// Tick moves VMs whose heartbeat stands still to suspect, dead and forgotten.
func (tb *Table) Tick(now time.Time) []Transition {
	var trs []Transition
	for _, rc := range tb.members {
		quiet := now.Sub(rc.heartbeatSent)
		to := rc.state
		switch {
		case quiet > ForgetAfter:
			tb.remove(rc)
			continue
		case quiet > DeadAfter:
			to = Dead
		case quiet > SuspectAfter && rc.state != Dead:
			to = Suspect
		}
		if to != rc.state {
			trs = append(trs, Transition{ID: rc.ID, From: rc.state, To: to})
			rc.state = to
			// The lost VM may have stood in the place of one that was not kept.
			clear(tb.dropped)
		}
	}
	slices.SortFunc(trs, func(tr, ot Transition) int { return tr.ID.Compare(ot.ID) })
	return trs
}

// Updates returns the news for a VM of the failure domain: of the VM itself, and of others that are alive or leaving. VMs
// of other failure domains hear of RemotePerDomain VMs only, as they keep no more.
func (tb *Table) Updates(now time.Time, to id.FailureDomain) []Update {
	var own, rest []*record
	own = append(own, &record{Entry: tb.self, state: Alive, heartbeatSent: now})
	for _, rc := range tb.members {
		switch {
		case rc.state != Alive && rc.state != Leaving:
		case rc.FailureDomain == tb.self.FailureDomain:
			own = append(own, rc)
		default:
			rest = append(rest, rc)
		}
	}
	if to != tb.self.FailureDomain {
		slices.SortFunc(own, compareRank)
		own = own[:min(len(own), RemotePerDomain)]
	}
	nws := make([]Update, 0, len(own)+len(rest))
	for _, rc := range slices.Concat(own, rest) {
		nws = append(nws, rc.update(now.Sub(rc.heartbeatSent)))
	}
	return nws
}

// MergeUpdates takes in the news of a digest. It returns the keys of VMs that are not known, whose entries the sender
// should be asked for.
func (tb *Table) MergeUpdates(now time.Time, nws []Update) (unknown []Key, trs []Transition) {
	own := KeyOf(tb.self.ID)
	for nr := range nws {
		nw := &nws[nr]
		vm, ok := tb.byKey[nw.Key]
		switch {
		case nw.Key == own:
		case ok:
			en := tb.members[vm].withUpdate(nw)
			if tr, changed := tb.mergeOne(now.Add(-nw.Age), &en); changed {
				trs = append(trs, tr)
			}
		case !tb.dropped[nw.Key]:
			unknown = append(unknown, nw.Key)
		}
	}
	return unknown, trs
}

// Entries returns the entries with the keys, as far as they are known.
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

// Members returns all others that are known, ordered by name.
func (tb *Table) Members() []Member {
	mbs := make([]Member, 0, len(tb.members))
	for _, rc := range tb.members {
		mbs = append(mbs, Member{Entry: rc.Entry, State: rc.state})
	}
	slices.SortFunc(mbs, func(mb, ot Member) int { return mb.ID.Compare(ot.ID) })
	return mbs
}

// Member returns what is known of another VM.
func (tb *Table) Member(vm id.VM) (Member, bool) {
	rc, ok := tb.members[vm]
	if !ok {
		return Member{}, false
	}
	return Member{Entry: rc.Entry, State: rc.state}, true
}

// Partners returns the VMs to exchange digests with in this round: some of the own failure domain and some of others.
// Dead VMs are tried now and then, as both sides of a healed partition take the other for dead.
func (tb *Table) Partners() []Entry {
	var near, far []Entry
	for _, mb := range tb.Members() {
		switch {
		case mb.State == Dead && tb.rnd.IntN(deadPartnerOdds) != 0:
		case mb.FailureDomain == tb.self.FailureDomain:
			near = append(near, mb.Entry)
		default:
			far = append(far, mb.Entry)
		}
	}
	return append(tb.sample(near, localPartners), tb.sample(far, remotePartners)...)
}

// deadPartnerOdds is the chance of a dead VM to be considered as a partner in a round.
const deadPartnerOdds = 8

func (tb *Table) sample(ens []Entry, size int) []Entry {
	tb.rnd.Shuffle(len(ens), func(la, lb int) { ens[la], ens[lb] = ens[lb], ens[la] })
	return ens[:min(size, len(ens))]
}

// WatchesStore reports whether this VM is one of the count VMs of its failure domain that watch the store. The choice is by
// rank among the VMs alive, so it moves when one of them is lost.
func (tb *Table) WatchesStore(count int) bool {
	own, lower := rank(tb.self.ID.VM), 0
	for _, rc := range tb.members {
		if rc.FailureDomain == tb.self.FailureDomain && rc.state == Alive && rank(rc.ID.VM) < own {
			lower++
		}
	}
	return lower < count
}
