package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/membership"
	"damasklatch/core/unit"
	"damasklatch/internal/fixedseed"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"

	"pgregory.net/rapid"
)

// ownershipSim runs the ownership managers of one failure domain against a store with injected faults. It calls their
// steps itself, so that a run is reproducible from its seed.
type ownershipSim struct {
	rt     *rapid.T
	st     *platform.Store
	cfg    *config.Effective
	owners map[id.VM]*OwnershipManager
	reuse  time.Duration
	// lent holds the fractions that ended processes may have lent, and until when the loans may be in use.
	lent map[id.VM][]lentAmount
}

type lentAmount struct {
	ppm   unit.PPM
	until time.Time
}

const ownersPerDomain = 3

func newOwnershipSim(rt *rapid.T, reuse time.Duration) *ownershipSim {
	return &ownershipSim{
		rt: rt, reuse: reuse, st: platform.NewStore(platform.StoreOptions{}),
		cfg: &config.Effective{
			Generation:     1,
			Regions:        []config.Region{{Name: "r"}},
			FailureDomains: []config.FailureDomain{{Name: "a", Region: "r", EntryVMs: ownersPerDomain}, {Name: "b", Region: "r"}},
		},
		owners: make(map[id.VM]*OwnershipManager),
		lent:   make(map[id.VM][]lentAmount),
	}
}

func vmName(nr int) id.VM { return id.VM(fmt.Sprint("vm", nr)) }

// startProcess starts a process of a VM. Its previous process has ended, because only one process can bind the address.
func (ow *ownershipSim) startProcess(vm id.VM) { ow.startProcessAt(vm, time.Now()) }

// startProcessAt starts a process of a VM whose clock shows the given time.
func (ow *ownershipSim) startProcessAt(vm id.VM, clock time.Time) {
	self := membership.Entry{
		ID:            id.VMIncarnation{VM: vm, Incarnation: id.Incarnation(clock.UnixNano())},
		FailureDomain: "a", PeerAddress: string(vm) + ":1", CallerAddress: string(vm) + ":2",
	}
	ct := NewController(Options{Self: self})
	ct.current.Store(ow.cfg)
	ow.owners[vm] = NewOwnershipManager(ow.st, ct, slog.New(slog.DiscardHandler))
	ow.owners[vm].reuseAfter = func(*config.Effective) time.Duration { return ow.reuse }
	ow.st.VMList().Set(store.VMRecord{
		VM: vm, FailureDomain: "a", PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress, State: store.VMLive,
	})
}

// killProcess ends a process without a shutdown. Its loans stay in use until they expire.
func (ow *ownershipSim) killProcess(vm id.VM) {
	if on := ow.owners[vm]; on != nil {
		until := time.Now().Add(limit.Settings{}.ReuseAfter())
		ow.lent[vm] = append(ow.lent[vm], lentAmount{ppm: on.reported.PPM, until: until})
		delete(ow.owners, vm)
	}
}

func (ow *ownershipSim) step(vm id.VM) {
	on := ow.owners[vm]
	if on == nil {
		return
	}
	on.step(context.Background())
	for len(on.ct.inbox) > 0 {
		<-on.ct.inbox
	}
}

// checkFractions fails the test if the fractions that running processes use and ended processes may have lent add up to
// more than the fraction of the failure domain.
func (ow *ownershipSim) checkFractions() {
	var sum unit.PPM
	for _, on := range ow.owners {
		sum += on.reported.PPM
	}
	for _, las := range ow.lent {
		for _, la := range las {
			if time.Now().Before(la.until) {
				sum += la.ppm
			}
		}
	}
	if most := unit.Whole / 2; sum > most {
		ow.rt.Fatalf("%d ppm are in use or lent, but the failure domain owns only %d", sum, most)
	}
}

// Guards against two processes that use the same fraction at the same time: after a restart, after a lost response of the
// store, or when an entry is taken over while loans of its previous owner are still in use.
func TestOwnedFractionsNeverExceedDomain(t *testing.T) {
	if text := runOwnership(t, limit.Settings{}.ReuseAfter()); text != "" {
		t.Error(text)
	}
}

// Guards against a check that can't fail: checkFractions must detect managers that use an entry that was taken over
// without waiting for the loans to expire.
func TestFractionCheckDetectsEarlyUse(t *testing.T) {
	if runOwnership(t, 0) == "" {
		t.Error("managers that use an entry without waiting pass the check")
	}
}

func runOwnership(t *testing.T, reuse time.Duration) string {
	return fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		ow := newOwnershipSim(rt, reuse)
		for nr := range rapid.IntRange(10, 60).Draw(rt, "steps") {
			vm := vmName(rapid.IntRange(0, ownersPerDomain-1).Draw(rt, fmt.Sprint("vm ", nr)))
			switch rapid.IntRange(0, 9).Draw(rt, fmt.Sprint("action ", nr)) {
			case 0:
				ow.killProcess(vm)
				ow.startProcess(vm)
			case 1:
				ow.killProcess(vm)
			case 2:
				ow.killProcess(vm)
				ow.st.VMList().Remove(vm)
				time.Sleep(2 * unlistedAfter)
			case 3:
				ow.st.SetFaults(platform.Faults{LoseAnswers: 2})
			case 4:
				ow.st.SetFaults(platform.Faults{Down: true})
			case 5:
				ow.st.SetFaults(platform.Faults{})
			case 6:
				time.Sleep(rapid.SampledFrom([]time.Duration{time.Second, 4 * time.Second, time.Minute}).Draw(rt, "wait"))
			default:
				if ow.owners[vm] == nil {
					ow.startProcess(vm)
				}
				ow.step(vm)
			}
			ow.checkFractions()
		}
	})
}

// Guards against a VM that takes over the entry of one that has just started and is not yet on the platform's list, and against entries
// that are never taken over, because the clock of the other VM is wrong.
func TestWrongClocksDoNotMoveEntries(t *testing.T) {
	for name, offset := range map[string]time.Duration{"behind": -time.Hour, "right": 0, "ahead": time.Hour} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ow := newOwnershipSim(nil, limit.Settings{}.ReuseAfter())
				ow.startProcess("vm0")
				ow.step("vm0")
				ow.startProcessAt("vm1", time.Now().Add(offset))
				ow.st.VMList().Remove("vm1")
				ow.step("vm1")
				if ow.owners["vm1"].granted == 0 {
					t.Fatal("vm1 got no entry")
				}
				before := ow.owners["vm0"].granted
				ow.step("vm0")
				if got := ow.owners["vm0"].granted; got != before {
					t.Errorf("vm0 owns %d ppm after the start of vm1, want %d", got, before)
				}
				ow.killProcess("vm1")
				time.Sleep(2 * unlistedAfter)
				ow.step("vm0")
				if got := ow.owners["vm0"].granted; got <= before {
					t.Errorf("vm0 owns %d ppm after vm1 has gone, want more than %d", got, before)
				}
			})
		})
	}
}

// Guards against fractions that stay unused: while the store is available, the whole fraction of the failure domain must
// be in use within 15 s of a restart and lost responses.
func TestOwnersUseWholeDomain(t *testing.T) {
	text := fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		ow := newOwnershipSim(rt, limit.Settings{}.ReuseAfter())
		for nr := range ownersPerDomain {
			ow.startProcess(vmName(nr))
			ow.step(vmName(nr))
		}
		ow.st.SetFaults(platform.Faults{LoseAnswers: rapid.IntRange(0, 3).Draw(rt, "lost answers")})
		restarted := vmName(rapid.IntRange(0, ownersPerDomain-1).Draw(rt, "restarted"))
		ow.killProcess(restarted)
		time.Sleep(time.Millisecond)
		ow.startProcess(restarted)
		for range 3 {
			time.Sleep(5 * time.Second)
			for nr := range ownersPerDomain {
				ow.step(vmName(nr))
			}
		}
		var sum unit.PPM
		for _, on := range ow.owners {
			sum += on.reported.PPM
		}
		if least := unit.Whole/2 - ownersPerDomain; sum < least {
			rt.Fatalf("only %d ppm are in use, want at least %d", sum, least)
		}
	})
	if text != "" {
		t.Error(text)
	}
}
