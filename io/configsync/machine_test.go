package configsync

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/core/id"
	"damasklatch/internal/fixedseed"
	"damasklatch/internal/standin/platform"

	"pgregory.net/rapid"
)

// stateMachine draws random events that happen to a fleet.
type stateMachine struct{ wd *simulatedFleet }

func (mc *stateMachine) randomVM(rt *rapid.T) *simulatedVM {
	return mc.wd.vms[rapid.IntRange(0, len(mc.wd.vms)-1).Draw(rt, "vm")]
}

func drawMS(rt *rapid.T, most int, what string) time.Duration {
	return time.Duration(rapid.IntRange(0, most).Draw(rt, what)) * time.Millisecond
}

func drawFaults(rt *rapid.T) platform.Faults {
	var fa platform.Faults
	switch rapid.IntRange(0, 7).Draw(rt, "fault") {
	case 0:
		fa.Down = true
	case 1:
		fa.Silent, fa.Reset = true, rapid.Bool().Draw(rt, "reset")
	case 2:
		fa.DelayBefore, fa.DelayAfter = drawMS(rt, 3000, "before"), drawMS(rt, 3000, "after")
	case 3:
		fa.LoseRequests, fa.LoseAnswers = rapid.IntRange(0, 3).Draw(rt, "requests"), rapid.IntRange(0, 3).Draw(rt, "answers")
	case 4:
		fa.StaleBy = drawMS(rt, 30_000, "stale")
	case 5:
		fa.Watch = rapid.SampledFrom([]platform.WatchFault{platform.WatchSilent, platform.WatchEmpty}).Draw(rt, "watch")
		fa.StaleBy = drawMS(rt, 10_000, "stale")
	}
	return fa
}

func (mc *stateMachine) actions() map[string]func(*rapid.T) {
	wd := mc.wd
	return map[string]func(*rapid.T){
		"accept": func(rt *rapid.T) { _ = wd.accept(context.Background(), rapid.IntRange(0, 3).Draw(rt, "keys")) },
		"announce": func(rt *rapid.T) {
			wd.recordAccepted()
			if len(wd.accepted) > 0 { // includes old announcements, in any order
				gen := rapid.IntRange(1, len(wd.accepted)).Draw(rt, "generation")
				mc.randomVM(rt).fl.Load().Offer([]byte(wd.accepted[id.Generation(gen)]))
			}
		},
		"wrong hint": func(rt *rapid.T) {
			gen := rapid.SampledFrom([]id.Generation{1, 5, 1 << 62}).Draw(rt, "generation")
			mc.randomVM(rt).fl.Load().Hint(gen, string(mc.randomVM(rt).name))
		},
		"restart": func(rt *rapid.T) {
			mb := mc.randomVM(rt)
			mb.stop()
			time.Sleep(drawMS(rt, 2000, "down"))
			mb.start()
		},
		"store fault": func(rt *rapid.T) { wd.st.SetFaults(drawFaults(rt)) },
		"client fault": func(rt *rapid.T) {
			mb, fa := mc.randomVM(rt), drawFaults(rt)
			mb.store.SetClientFaults(fa)
			switch {
			case !fa.Silent:
				mb.silent = time.Time{}
			case mb.silent.IsZero():
				mb.silent = time.Now()
			}
		},
		"partition": func(rt *rapid.T) {
			from, to := mc.randomVM(rt).domain, mc.randomVM(rt).domain
			wd.mu.Lock()
			defer wd.mu.Unlock()
			wd.partitions[[2]int{min(from, to), max(from, to)}] = rapid.Bool().Draw(rt, "cut")
		},
		"damage": func(rt *rapid.T) {
			wd.mu.Lock()
			defer wd.mu.Unlock()
			wd.corrupt = rapid.Bool().Draw(rt, "damage")
		},
		"freshness": func(rt *rapid.T) { mc.randomVM(rt).needsContact.Store(rapid.Bool().Draw(rt, "needed")) },
		"wait":      func(rt *rapid.T) { time.Sleep(drawMS(rt, 5000, "time")) },
		"wait long": func(rt *rapid.T) { time.Sleep(10 * drawMS(rt, 5000, "time")) },
		"":          func(rt *rapid.T) { mc.check(rt) },
	}
}

func (mc *stateMachine) check(rt *rapid.T) {
	synctest.Wait()
	if faults := mc.wd.check(); len(faults) > 0 {
		rt.Fatalf("%v", faults)
	}
}

// recoveryTime is longer than all pauses, waits and timeouts of a follower together.
const recoveryTime = time.Minute

// verifyRecovery ends all faults and checks that every follower then reaches the newest generation.
func (mc *stateMachine) verifyRecovery(rt *rapid.T) {
	wd := mc.wd
	wd.mu.Lock()
	clear(wd.partitions)
	wd.corrupt = false
	wd.mu.Unlock()
	wd.st.SetFaults(platform.Faults{})
	for _, mb := range wd.vms {
		mb.store.SetClientFaults(platform.Faults{})
		mb.silent = time.Time{}
	}
	time.Sleep(recoveryTime)
	mc.check(rt)
	_, mf := wd.recordAccepted()
	for _, mb := range wd.vms {
		if gen, _ := mb.fl.Load().Manifest(); mf != nil && gen != mf.Generation {
			rt.Fatalf("%s stays at generation %d, the accepted generation is %d", mb.name, gen, mf.Generation)
		}
	}
}

// checkMachine runs the state machine on three failure domains with two followers each, one of which watches the store.
// It returns the text of the failure, or the empty string.
func checkMachine(t *testing.T, newer func(gen, inForce id.Generation) bool) string {
	return fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		wd := newFleet([]int{2, 2, 2}, 2, 1, newer)
		defer wd.stop()
		mc := &stateMachine{wd: wd}
		rt.Repeat(mc.actions())
		mc.verifyRecovery(rt)
	})
}

// Guards against a generation that decreases within a process, a content that was never accepted for its generation,
// and a follower that stays behind after all faults have ended.
func TestMachine(t *testing.T) {
	if text := checkMachine(t, nil); text != "" {
		t.Error(text)
	}
}

// Guards against checks that cannot fail: they must detect followers that also apply lower generations.
func TestMachineNoticesLowerGenerations(t *testing.T) {
	text := checkMachine(t, func(gen, inForce id.Generation) bool { return gen != inForce })
	if !strings.Contains(text, "goes from generation") {
		t.Errorf("the checks do not detect followers whose generation decreases: %s", text)
	}
}
