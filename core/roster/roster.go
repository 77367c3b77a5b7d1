package roster

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// AliveFor is the time after its last sign of life during which a VM counts as alive.
	AliveFor = 2 * time.Second
	// ForgetAfter is the time after the last sign of life after which a VM uses no limit any more: its lease of the
	// configuration has ended, unless it renewed it in a way that would have shown it to be alive.
	ForgetAfter = 7 * time.Second
	// speakersEach is the number of speakers of a failure domain, so that one may be lost.
	speakersEach = 2
	// trialTime is the time for which a VM that was never heard may be taken for a speaker.
	trialTime = 1500 * time.Millisecond
	// summaryFor is the time for which the work in a summary is taken for the present one.
	summaryFor = 3 * time.Second
)

// Member is another VM.
type Member struct {
	Peer
	State State
	// Heard is the time of its last sign of life, heard from itself or from a speaker; zero if none.
	Heard time.Time
	// Direct is the last report from the VM itself, and DirectAt the time at which it came.
	Direct   Report
	DirectAt time.Time
	// Shown is the time at which its registration was last seen to change, Known that at which it was first seen.
	Shown, Known time.Time
	beats        bool // the registration has changed since it was first seen
	forgotten    bool // it uses no limit any more
}

// Alive reports whether there was a sign of life recently.
func (mb *Member) Alive(now time.Time) bool { return within(now, mb.Heard, AliveFor) }

// Near reports whether the VM itself was heard recently.
func (mb *Member) Near(now time.Time) bool { return within(now, mb.DirectAt, AliveFor) }

func within(now, at time.Time, dur time.Duration) bool { return !at.IsZero() && now.Sub(at) < dur }

// silent reports whether there was no sign of life for so long that the VM uses no limit any more.
func (mb *Member) silent(now time.Time) bool {
	return !within(now, mb.Heard, ForgetAfter) && !within(now, mb.Shown, ForgetAfter)
}

// held is a summary that was heard from a speaker.
type held struct {
	sm Summary
	at time.Time // when it was made
}

// Roster is the list of the other VMs. It is safe for concurrent use.
type Roster struct {
	mu        sync.RWMutex
	self      Peer
	members   map[id.VM]*Member
	byKey     map[Key]*Member
	summaries map[id.FailureDomain]map[id.VM]held
	loads     map[uint32]uint16 // heard since the last summary
	leaving   bool
	// touched is the time since which this VM would have seen signs of life of others.
	touched time.Time
}

// New returns an empty roster.
func New(self Peer) *Roster {
	return &Roster{
		self: self, members: map[id.VM]*Member{}, byKey: map[Key]*Member{},
		summaries: map[id.FailureDomain]map[id.VM]held{}, loads: map[uint32]uint16{},
	}
}

// SetPeers takes the list of registered VMs.
func (rs *Roster) SetPeers(now time.Time, peers []Peer) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	listed := map[id.VM]bool{}
	for _, pr := range peers {
		if pr.VM == rs.self.VM {
			continue
		}
		listed[pr.VM] = true
		mb := rs.members[pr.VM]
		switch {
		case mb == nil || pr.Incarnation > mb.Incarnation:
			rs.put(&Member{Peer: pr, Shown: now, Known: now}) // what an earlier process said no longer holds
		case pr.Incarnation == mb.Incarnation:
			if pr.Beat > mb.Beat {
				mb.Shown, mb.beats = now, true
			}
			mb.Peer = pr // the process may have been heard at the addresses of the one before
		}
	}
	for name, mb := range rs.members {
		if !listed[name] && mb.Heard.IsZero() {
			rs.drop(mb)
		}
	}
}

func (rs *Roster) put(mb *Member) {
	if old := rs.members[mb.VM]; old != nil {
		rs.drop(old)
	}
	rs.members[mb.VM], rs.byKey[KeyOf(mb.VM, mb.Incarnation)] = mb, mb
}

func (rs *Roster) drop(mb *Member) {
	delete(rs.members, mb.VM)
	delete(rs.byKey, KeyOf(mb.VM, mb.Incarnation))
}

// Hear takes a message. It reports false if it is older than what is known, or comes from a VM that is not registered.
func (rs *Roster) Hear(now time.Time, st *Status) bool {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rp := &st.Report
	mb := rs.members[rp.VM]
	if mb != nil && rp.Incarnation > mb.Incarnation {
		pr := mb.Peer
		pr.Incarnation, pr.Beat = rp.Incarnation, 0
		mb = &Member{Peer: pr, Shown: now, Known: now}
		rs.put(mb)
	}
	if mb == nil || rp.Incarnation != mb.Incarnation || rp.Sent <= mb.Direct.Sent {
		return false
	}
	mb.Direct, mb.DirectAt, mb.Heard, mb.State = *rp, now, now, rp.State
	merge(rs.loads, rp.Loads)
	for _, sm := range st.Summaries {
		rs.take(now, rp.VM, sm)
	}
	return true
}

func (rs *Roster) take(now time.Time, speaker id.VM, sm Summary) {
	made := now.Add(-max(sm.Age, 0))
	if rs.summaries[sm.FailureDomain] == nil {
		rs.summaries[sm.FailureDomain] = map[id.VM]held{}
	}
	if made.After(rs.summaries[sm.FailureDomain][speaker].at) {
		rs.summaries[sm.FailureDomain][speaker] = held{sm, made}
	}
	for _, sg := range sm.Signs {
		mb := rs.byKey[sg.Key]
		if mb == nil || mb.FailureDomain != sm.FailureDomain {
			continue
		}
		if at := made.Add(-time.Duration(sg.Age) * time.Millisecond); at.After(mb.Heard) {
			mb.Heard, mb.State = at, sg.State
		}
	}
}

// Note adds loads that this VM has seen itself to its next summary.
func (rs *Roster) Note(loads []Load) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	merge(rs.loads, loads)
}

// Members returns all other VMs.
func (rs *Roster) Members() []Member {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	list := make([]Member, 0, len(rs.members))
	for _, mb := range rs.members {
		list = append(list, *mb)
	}
	return list
}

// Work returns the busy slots that the demand of other VMs needs, by region and pool. The work of the own failure domain is that
// of other VMs only if this VM is a speaker; else own is true and it includes this VM's.
func (rs *Roster) Work(now time.Time, regionOf map[id.FailureDomain]id.Region) (work map[id.Region]map[id.Pool]float64, own bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	work = map[id.Region]map[id.Pool]float64{}
	add := func(rg id.Region, more map[id.Pool]float32) {
		if work[rg] == nil {
			work[rg] = map[id.Pool]float64{}
		}
		for pl, slots := range more {
			work[rg][pl] += float64(slots)
		}
	}
	for fd, all := range rs.summaries {
		best, ok := fullest(now, all)
		if !ok || fd == rs.self.FailureDomain && rs.speaks(now) {
			continue
		}
		own = own || fd == rs.self.FailureDomain
		add(regionOf[fd], best.sm.Work)
	}
	if own {
		return work, true
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == rs.self.FailureDomain && mb.Near(now) {
			add(mb.Region, mb.Direct.Work)
		}
	}
	return work, false
}

// fullest returns the recent summary with the most VMs.
func fullest(now time.Time, all map[id.VM]held) (held, bool) {
	var best held
	var from id.VM
	for name, hd := range all {
		if now.Sub(hd.at) >= summaryFor {
			continue
		}
		more := cmp.Or(cmp.Compare(len(hd.sm.Signs), len(best.sm.Signs)), cmp.Compare(from, name))
		if best.at.IsZero() || more > 0 {
			best, from = hd, name
		}
	}
	return best, !best.at.IsZero()
}

// Summary sums up what was heard from the VMs of the failure domain, with this VM's own report.
func (rs *Roster) Summary(now time.Time, own *Report) Summary {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	sm := Summary{FailureDomain: rs.self.FailureDomain, Work: map[id.Pool]float32{}}
	sm.Signs = append(sm.Signs, Sign{Key: KeyOf(rs.self.VM, rs.self.Incarnation), State: own.State})
	add := func(work map[id.Pool]float32) {
		for pl, slots := range work {
			sm.Work[pl] += slots
		}
	}
	add(own.Work)
	for _, mb := range rs.members {
		if mb.FailureDomain != rs.self.FailureDomain || !mb.Near(now) {
			continue
		}
		age := min(now.Sub(mb.DirectAt).Milliseconds(), math.MaxUint16)
		sm.Signs = append(sm.Signs, Sign{Key: KeyOf(mb.VM, mb.Incarnation), State: mb.State, Age: uint16(age)})
		add(mb.Direct.Work)
	}
	sm.Loads = listOf(rs.loads)
	clear(rs.loads)
	return sm
}

// Summaries returns the newest summaries of the other failure domains.
func (rs *Roster) Summaries(now time.Time) []Summary {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	var list []Summary
	for fd, all := range rs.summaries {
		if fd == rs.self.FailureDomain {
			continue
		}
		if hd, ok := fullest(now, all); ok {
			hd.sm.Age = now.Sub(hd.at)
			list = append(list, hd.sm)
		}
	}
	return list
}

// Speakers returns the VMs that speak for a failure domain: those with the fastest links out of those that are alive or may be.
// All VMs that see the same fleet choose the same ones.
func (rs *Roster) Speakers(now time.Time, fd id.FailureDomain) []Peer {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.speakers(now, fd)
}

func (rs *Roster) speakers(now time.Time, fd id.FailureDomain) []Peer {
	var likely, others []Peer
	if fd == rs.self.FailureDomain {
		likely = append(likely, rs.self)
	}
	for _, mb := range rs.members {
		switch {
		case mb.FailureDomain != fd || mb.State.Has(Leaving):
		case mb.Alive(now) || mb.Heard.IsZero() && now.Sub(mb.Known) < trialTime:
			likely = append(likely, mb.Peer)
		default:
			others = append(others, mb.Peer)
		}
	}
	slices.SortFunc(likely, bySpeed)
	if len(likely) >= speakersEach || len(others) == 0 {
		return likely[:min(len(likely), speakersEach)]
	}
	// One of those that fell silent is tried in turn, in case all of them returned.
	slices.SortFunc(others, bySpeed)
	return append(likely, others[int(now.Unix())%len(others)])
}

func bySpeed(aa, bb Peer) int {
	return cmp.Or(cmp.Compare(bb.LinkRate, aa.LinkRate), cmp.Compare(aa.VM, bb.VM))
}

// Speaks reports whether this VM speaks for its failure domain.
func (rs *Roster) Speaks(now time.Time) bool {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.speaks(now)
}

func (rs *Roster) speaks(now time.Time) bool {
	return slices.ContainsFunc(rs.speakers(now, rs.self.FailureDomain), func(pr Peer) bool { return pr.VM == rs.self.VM })
}

// Heard reports whether another VM has heard this one within a time.
func (rs *Roster) Heard(now time.Time, dur time.Duration) bool {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for _, mb := range rs.members {
		if mb.Direct.EchoOf == rs.self.Incarnation && within(now, mb.DirectAt, dur) {
			return true
		}
	}
	return false
}

// Beats reports whether this VM should show in the store that it is alive: nobody hears it, or another VM of its failure domain
// shows itself there that is not heard.
func (rs *Roster) Beats(now time.Time) bool {
	heard := rs.Heard(now, AliveFor)
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	for _, mb := range rs.members {
		if !heard && !mb.forgotten {
			return true
		}
		if mb.FailureDomain == rs.self.FailureDomain && !mb.Alive(now) && mb.beats && within(now, mb.Shown, ForgetAfter) {
			return true
		}
	}
	return false
}

// Touch notes whether this VM has run all the time and reached the store or another VM. It forgets those of whom it has seen no
// sign of life for ForgetAfter, although it would have.
func (rs *Roster) Touch(now time.Time, reached bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if !reached {
		rs.touched = now
	}
	for _, mb := range rs.members {
		mb.forgotten = mb.silent(now) && (mb.forgotten || now.Sub(rs.touched) >= ForgetAfter)
	}
}

// Leave tells that this VM shuts down. Another one counts in its place.
func (rs *Roster) Leave() {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	rs.leaving = true
}

// Counter returns the VM that counts the requests of a team in a failure domain, and whether it is alive. A silent VM keeps the
// right to count for ForgetAfter; one that shuts down gives it up.
func (rs *Roster) Counter(now time.Time, fd id.FailureDomain, team id.Team) (counter Peer, alive bool) {
	rs.mu.RLock()
	defer rs.mu.RUnlock()
	return rs.counter(now, fd, team)
}

func (rs *Roster) counter(now time.Time, fd id.FailureDomain, team id.Team) (counter Peer, alive bool) {
	key := rendezvous.Hash(string(team))
	var most uint64
	consider := func(pr Peer, up bool) {
		if weight := rendezvous.Weight(key, pr.VM); counter.VM == "" || weight > most {
			counter, alive, most = pr, up, weight
		}
	}
	if fd == rs.self.FailureDomain && !rs.leaving {
		consider(rs.self, true)
	}
	for _, mb := range rs.members {
		if mb.FailureDomain == fd && !mb.forgotten && !mb.State.Has(Leaving) {
			consider(mb.Peer, mb.Alive(now))
		}
	}
	return counter, alive
}
