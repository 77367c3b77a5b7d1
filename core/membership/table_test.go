package membership_test

import (
	"fmt"
	"testing"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/membership"
)

const round = 500 * time.Millisecond

// fleet simulates the exchange of digests between the tables of several VMs. cut reports which exchanges are lost.
type fleet struct {
	tables map[id.VM]*membership.Table
	order  []id.VM
	down   map[id.VM]bool
	cut    func(from, to id.VM) bool
	now    time.Time
}

func newFleet(domains, perDomain int) *fleet {
	fl := &fleet{
		tables: make(map[id.VM]*membership.Table), down: make(map[id.VM]bool),
		cut: func(_, _ id.VM) bool { return false }, now: time.Unix(1_800_000_000, 0),
	}
	var seeds []membership.Entry
	for fd := range domains {
		for nr := range perDomain {
			en := membership.Entry{
				ID:            id.VMIncarnation{VM: id.VM(fmt.Sprintf("f%d-%d", fd, nr)), Incarnation: 1},
				FailureDomain: id.FailureDomain(fmt.Sprint("f", fd)),
			}
			seeds = append(seeds, en)
			fl.order = append(fl.order, en.ID.VM)
			fl.tables[en.ID.VM] = membership.New(en, uint64(len(seeds)))
		}
	}
	for _, tb := range fl.tables {
		tb.Seed(fl.now, seeds)
	}
	return fl
}

// step simulates one round, in which the VMs act one after the other at equal intervals. It returns the transitions to Suspect.
func (fl *fleet) step() (suspected []membership.Transition) {
	for _, vm := range fl.order {
		fl.now = fl.now.Add(round / time.Duration(len(fl.order)))
		if fl.down[vm] {
			continue
		}
		tb := fl.tables[vm]
		tb.UpdateSelf(true, false, nil)
		for _, pt := range tb.Partners() {
			if fl.down[pt.ID.VM] || fl.cut(vm, pt.ID.VM) {
				continue
			}
			ot := fl.tables[pt.ID.VM]
			sendDigest(fl.now, tb, ot)
			sendDigest(fl.now, ot, tb)
			tb.RecordContact(pt.FailureDomain, fl.now)
			storeAge, ok := ot.StoreAge(fl.now)
			if !ok {
				storeAge = -1
			}
			tb.MergeContactAges(fl.now, storeAge, ot.ContactAges(fl.now))
		}
		for _, tr := range tb.Tick(fl.now) {
			if tr.To == membership.Suspect {
				suspected = append(suspected, tr)
			}
		}
	}
	return suspected
}

// sendDigest sends the updates of one table to another, which then fetches the entries that it lacks.
func sendDigest(now time.Time, from, to *membership.Table) {
	unknown, _ := to.MergeUpdates(now, from.Updates(now, to.Self().FailureDomain))
	to.Merge(now, from.Entries(unknown))
}

// run simulates all rounds of a period and returns the transitions to Suspect.
func (fl *fleet) run(dr time.Duration) (suspected []membership.Transition) {
	for range int(dr / round) {
		suspected = append(suspected, fl.step()...)
	}
	return suspected
}

// countAlive returns how many other VMs the table of a VM shows as alive.
func (fl *fleet) countAlive(vm id.VM) int {
	alive := 0
	for _, mb := range fl.tables[vm].Members() {
		if mb.State == membership.Alive {
			alive++
		}
	}
	return alive
}

// Guards against live VMs that become suspect, and are left out of look-ups, because digests delivered a heartbeat too late.
func TestNoFalseSuspicion(t *testing.T) {
	for _, size := range [][2]int{{6, 2}, {18, 23}} {
		fl := newFleet(size[0], size[1])
		fl.run(5 * time.Second)
		sim := 10 * time.Minute
		if size[0]*size[1] > 100 {
			sim = 5 * time.Second
		}
		if sus := fl.run(sim); len(sus) > 0 {
			t.Errorf("%d domains of %d VMs: %d false suspicions, first %v", size[0], size[1], len(sus), sus[0])
		}
	}
}

// Guards against look-ups that still return VMs of a lost failure domain after 3 s, and against a failure domain that is not
// used again after the partition has healed.
func TestLostFailureDomain(t *testing.T) {
	fl := newFleet(6, 2)
	fl.run(10 * time.Second)
	inF0 := func(vm id.VM) bool { return vm[:2] == "f0" }
	fl.cut = func(from, to id.VM) bool { return inF0(from) != inF0(to) }
	fl.run(3 * time.Second)
	if got := fl.countAlive("f3-0"); got != 9 {
		t.Errorf("3 s after the loss, f3-0 shows %d other VMs as alive, want 9", got)
	}
	if got := fl.countAlive("f0-0"); got != 1 {
		t.Errorf("in the lost failure domain, f0-0 shows %d other VMs as alive, want 1", got)
	}
	for _, ag := range fl.tables["f0-0"].ContactAges(fl.now) {
		if ag.FailureDomain != "f0" && ag.Age < 2500*time.Millisecond {
			t.Errorf("the contact age of %s is %v, but it has been cut off for 3 s", ag.FailureDomain, ag.Age)
		}
	}
	fl.run(time.Minute)
	fl.cut = func(_, _ id.VM) bool { return false }
	fl.run(20 * time.Second)
	for _, vm := range fl.order {
		if got := fl.countAlive(vm); got != 11 {
			t.Errorf("after the partition has healed, %s shows %d other VMs as alive, want 11", vm, got)
		}
	}
}

// Guards against a delayed digest that replaces an incarnation by an earlier one or makes a dead VM alive again.
func TestLateDigest(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	tb := membership.New(membership.Entry{ID: id.VMIncarnation{VM: "a", Incarnation: 1}, FailureDomain: "f"}, 1)
	old := membership.Entry{ID: id.VMIncarnation{VM: "b", Incarnation: 1}, FailureDomain: "f", Heartbeat: 90}
	next := membership.Entry{ID: id.VMIncarnation{VM: "b", Incarnation: 2}, FailureDomain: "f", Heartbeat: 1}
	tb.Merge(now, []membership.Entry{old})
	tb.Merge(now, []membership.Entry{next})
	if trs := tb.Merge(now, []membership.Entry{old}); len(trs) > 0 || tb.Members()[0].ID != next.ID {
		t.Errorf("an earlier incarnation replaced a later one: %v", trs)
	}
	tb.Tick(now.Add(time.Minute))
	if trs := tb.Merge(now.Add(time.Minute), []membership.Entry{next}); len(trs) > 0 {
		t.Errorf("an old heartbeat made a dead VM alive again: %v", trs)
	}
}

// Guards against digests that grow with the size of remote failure domains.
func TestDigestSize(t *testing.T) {
	fl := newFleet(18, 23)
	fl.run(3 * time.Second)
	for _, tc := range []struct {
		to   id.FailureDomain
		most int
	}{
		{"f0", 23 + 17*membership.RemotePerDomain},
		{"f1", 18 * membership.RemotePerDomain},
	} {
		for nr := range 23 {
			vm := id.VM(fmt.Sprintf("f0-%d", nr))
			if got := len(fl.tables[vm].Updates(fl.now, tc.to)); got > tc.most {
				t.Errorf("the digest from %s to %s has %d updates, want at most %d", vm, tc.to, got, tc.most)
			}
		}
	}
}
