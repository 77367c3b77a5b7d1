package daemon

import (
	"context"
	"fmt"
	"log/slog"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/member"
	"damasklatch/core/unit"
	"damasklatch/internal/fixedseed"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"

	"pgregory.net/rapid"
)

// ownerWorld runs the owners of one failure domain against a store with faults. It steps them itself, so that a run
// repeats for its seed.
type ownerWorld struct {
	rt     *rapid.T
	st     *platform.Store
	cfg    *config.Effective
	owners map[id.VM]*OwnershipManager
	reuse  time.Duration
	// lent holds until when a process that ended may have amounts in use that it lent.
	lent map[id.VM][]lentAmount
}

type lentAmount struct {
	ppm   unit.PPM
	until time.Time
}

const ownersPerDomain = 3

func newOwnerWorld(rt *rapid.T, reuse time.Duration) *ownerWorld {
	return &ownerWorld{
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

// boot starts a process of a VM. An earlier one has ended, because the address is bound once.
func (ow *ownerWorld) boot(vm id.VM) {
	self := member.Entry{
		ID:            id.VMIncarnation{VM: vm, Incarnation: id.Incarnation(time.Now().UnixNano())},
		FailureDomain: "a", PeerAddress: string(vm) + ":1", CallerAddress: string(vm) + ":2",
	}
	ct := NewController(Options{Self: self})
	ct.current.Store(ow.cfg)
	ow.owners[vm] = NewOwnershipManager(ow.st, ct, slog.New(slog.DiscardHandler))
	ow.owners[vm].reuse = func(*config.Effective) time.Duration { return ow.reuse }
	ow.st.VMList().Set(store.VMRecord{
		VM: vm, FailureDomain: "a", PeerAddress: self.PeerAddress, CallerAddress: self.CallerAddress, State: store.VMLive,
	})
}

// halt ends a process at once. What it has lent stays in use until the loans end.
func (ow *ownerWorld) halt(vm id.VM) {
	if on := ow.owners[vm]; on != nil {
		until := time.Now().Add(limit.Settings{}.ReuseAfter())
		ow.lent[vm] = append(ow.lent[vm], lentAmount{ppm: on.told.PPM, until: until})
		delete(ow.owners, vm)
	}
}

func (ow *ownerWorld) step(vm id.VM) {
	on := ow.owners[vm]
	if on == nil {
		return
	}
	on.step(context.Background())
	for len(on.ct.inbox) > 0 {
		<-on.ct.inbox
	}
}

// check is the oracle: what all processes use, and what ended ones may have lent, is at most the domain's fraction.
func (ow *ownerWorld) check() {
	var sum unit.PPM
	for _, on := range ow.owners {
		sum += on.told.PPM
	}
	for _, las := range ow.lent {
		for _, la := range las {
			if time.Now().Before(la.until) {
				sum += la.ppm
			}
		}
	}
	if most := unit.Whole / 2; sum > most {
		ow.rt.Fatalf("%d ppm are in use, the failure domain has %d", sum, most)
	}
}

// Guards against a fraction that two processes use at once: after a restart, a lost answer of the store, an entry that
// is taken over while loans of its earlier holder are still in use.
func TestOwnersNeverExceedTheirDomain(t *testing.T) {
	if text := checkOwners(t, limit.Settings{}.ReuseAfter()); text != "" {
		t.Error(text)
	}
}

// Guards against an oracle that can't fail: it must notice owners that use an entry without waiting.
func TestOwnersOracleNoticesEarlyUse(t *testing.T) {
	if checkOwners(t, 0) == "" {
		t.Error("owners that use an entry at once pass the check")
	}
}

func checkOwners(t *testing.T, reuse time.Duration) string {
	return fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		ow := newOwnerWorld(rt, reuse)
		for nr := range rapid.IntRange(10, 60).Draw(rt, "steps") {
			vm := vmName(rapid.IntRange(0, ownersPerDomain-1).Draw(rt, fmt.Sprint("vm ", nr)))
			switch rapid.IntRange(0, 9).Draw(rt, fmt.Sprint("action ", nr)) {
			case 0:
				ow.halt(vm)
				ow.boot(vm)
			case 1:
				ow.halt(vm)
			case 2:
				ow.halt(vm)
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
					ow.boot(vm)
				}
				ow.step(vm)
			}
			ow.check()
		}
	})
}

// Guards against share that stays unused: with the store up, all of a domain's fraction is in use a while after
// restarts and lost answers.
func TestOwnersUseTheWholeDomain(t *testing.T) {
	text := fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		ow := newOwnerWorld(rt, limit.Settings{}.ReuseAfter())
		for nr := range ownersPerDomain {
			ow.boot(vmName(nr))
			ow.step(vmName(nr))
		}
		ow.st.SetFaults(platform.Faults{LoseAnswers: rapid.IntRange(0, 3).Draw(rt, "lost answers")})
		restarted := vmName(rapid.IntRange(0, ownersPerDomain-1).Draw(rt, "restarted"))
		ow.halt(restarted)
		time.Sleep(time.Millisecond)
		ow.boot(restarted)
		for range 3 {
			time.Sleep(5 * time.Second)
			for nr := range ownersPerDomain {
				ow.step(vmName(nr))
			}
		}
		var sum unit.PPM
		for _, on := range ow.owners {
			sum += on.told.PPM
		}
		if least := unit.Whole/2 - ownersPerDomain; sum < least {
			rt.Fatalf("%d ppm are in use, want at least %d", sum, least)
		}
	})
	if text != "" {
		t.Error(text)
	}
}
