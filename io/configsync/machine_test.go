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

// machine draws what happens to a fleet.
type machine struct{ wd *world }

func (mc *machine) member(rt *rapid.T) *member {
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

func (mc *machine) actions() map[string]func(*rapid.T) {
	wd := mc.wd
	return map[string]func(*rapid.T){
		"accept": func(rt *rapid.T) { _ = wd.accept(context.Background(), rapid.IntRange(0, 3).Draw(rt, "keys")) },
		"announce": func(rt *rapid.T) {
			wd.learn()
			if len(wd.accepted) > 0 { // also announcements of long ago, in any order
				gen := rapid.IntRange(1, len(wd.accepted)).Draw(rt, "generation")
				mc.member(rt).fl.Load().Offer([]byte(wd.accepted[id.Generation(gen)]))
			}
		},
		"wrong hint": func(rt *rapid.T) {
			gen := rapid.SampledFrom([]id.Generation{1, 5, 1 << 62}).Draw(rt, "generation")
			mc.member(rt).fl.Load().Hint(gen, string(mc.member(rt).name))
		},
		"restart": func(rt *rapid.T) {
			mb := mc.member(rt)
			mb.stop()
			time.Sleep(drawMS(rt, 2000, "down"))
			mb.start()
		},
		"store fault": func(rt *rapid.T) { wd.st.SetFaults(drawFaults(rt)) },
		"client fault": func(rt *rapid.T) {
			mb, fa := mc.member(rt), drawFaults(rt)
			mb.store.SetClientFaults(fa)
			switch {
			case !fa.Silent:
				mb.silent = time.Time{}
			case mb.silent.IsZero():
				mb.silent = time.Now()
			}
		},
		"partition": func(rt *rapid.T) {
			from, to := mc.member(rt).domain, mc.member(rt).domain
			wd.mu.Lock()
			defer wd.mu.Unlock()
			wd.cut[[2]int{min(from, to), max(from, to)}] = rapid.Bool().Draw(rt, "cut")
		},
		"damage": func(rt *rapid.T) {
			wd.mu.Lock()
			defer wd.mu.Unlock()
			wd.corrupt = rapid.Bool().Draw(rt, "damage")
		},
		"freshness": func(rt *rapid.T) { mc.member(rt).evidence.Store(rapid.Bool().Draw(rt, "needed")) },
		"wait":      func(rt *rapid.T) { time.Sleep(drawMS(rt, 5000, "time")) },
		"wait long": func(rt *rapid.T) { time.Sleep(10 * drawMS(rt, 5000, "time")) },
		"":          func(rt *rapid.T) { mc.check(rt) },
	}
}

func (mc *machine) check(rt *rapid.T) {
	synctest.Wait()
	if faults := mc.wd.check(); len(faults) > 0 {
		rt.Fatalf("%v", faults)
	}
}

// recovery is longer than any pause, wait and timeout of a follower together.
const recovery = time.Minute

// end ends all faults. Then every follower must reach the newest generation.
func (mc *machine) end(rt *rapid.T) {
	wd := mc.wd
	wd.mu.Lock()
	clear(wd.cut)
	wd.corrupt = false
	wd.mu.Unlock()
	wd.st.SetFaults(platform.Faults{})
	for _, mb := range wd.vms {
		mb.store.SetClientFaults(platform.Faults{})
		mb.silent = time.Time{}
	}
	time.Sleep(recovery)
	mc.check(rt)
	_, mf := wd.learn()
	for _, mb := range wd.vms {
		if gen, _ := mb.fl.Load().Manifest(); mf != nil && gen != mf.Generation {
			rt.Fatalf("%s stays at generation %d, the newest is %d", mb.name, gen, mf.Generation)
		}
	}
}

// checkMachine runs the state machine, three failure domains with two followers each, one of which watches the store.
// It returns the failure.
func checkMachine(t *testing.T, newer func(gen, inForce id.Generation) bool) string {
	return fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		wd := newWorld([]int{2, 2, 2}, 2, 1, newer)
		defer wd.stop()
		mc := &machine{wd: wd}
		rt.Repeat(mc.actions())
		mc.end(rt)
	})
}

// Guards against a generation that goes down in a process, against a content that was never accepted for its
// generation, and against a follower that stays behind after all faults have ended.
func TestMachine(t *testing.T) {
	if text := checkMachine(t, nil); text != "" {
		t.Error(text)
	}
}

// Guards against an oracle that can't fail: it must notice followers that apply every other generation they see.
func TestMachineNoticesLowerGenerations(t *testing.T) {
	text := checkMachine(t, func(gen, inForce id.Generation) bool { return gen != inForce })
	if !strings.Contains(text, "goes from generation") {
		t.Errorf("the state machine accepts followers whose generation goes down: %s", text)
	}
}
