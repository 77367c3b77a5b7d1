package limit_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	_ "damasklatch/internal/fixedseed"

	"damasklatch/core/unit"

	"pgregory.net/rapid"
)

// run simulates the fleet for some rounds. Most traffic goes to one VM, all VMs call Tick, and the network loses,
// duplicates, delays and reorders messages.
func (md *model) run(rng *rand.Rand, rounds int) {
	hot := md.vms[rng.IntN(len(md.vms))]
	step := time.Duration(1+rng.IntN(60)) * time.Millisecond
	loss, dup, delay := rng.Float64()*0.3, rng.Float64()*0.2, rng.Float64()*0.5
	for range rounds {
		for _, rs := range md.names {
			for range rng.IntN(12) {
				md.take(hot, rs, unit.Milli(1+rng.IntN(2500)))
			}
			md.take(md.vms[rng.IntN(len(md.vms))], rs, unit.Milli(rng.IntN(1500)))
			md.acquire(hot, rs, rng.IntN(2) == 0)
		}
		ticksFirst := rng.IntN(2) == 0
		for _, mv := range md.vms {
			if ticksFirst {
				md.tick(mv)
			}
		}
		for range len(md.network) {
			at := rng.IntN(len(md.network))
			switch draw := rng.Float64(); {
			case draw < loss:
				md.network = slices.Delete(md.network, at, at+1)
			case draw < loss+dup:
				md.deliver(at, true)
			case draw < loss+dup+delay:
			default:
				md.deliver(at, false)
			}
			md.check()
			if len(md.network) == 0 {
				break
			}
		}
		for _, mv := range md.vms {
			if !ticksFirst {
				md.tick(mv)
			}
		}
		md.advance(step)
		switch rng.IntN(40) {
		case 0:
			md.vms[rng.IntN(len(md.vms))].paused = true
		case 1, 2:
			for _, mv := range md.vms {
				mv.paused = false
			}
		case 3:
			md.reconcileAll()
		case 4, 5: // all processes and the network stall
			md.advance(time.Duration(rng.IntN(4000)) * time.Millisecond)
		}
	}
}

// explore draws and runs the steps of one check. After the first violation it runs no more steps.
func explore(rt *rapid.T, md *model) {
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "rng"), 2))
	pick := func(rt *rapid.T) *modelVM { return md.vms[rapid.IntRange(0, len(md.vms)-1).Draw(rt, "vm")] }
	steps := map[string]func(*rapid.T){
		"run":    func(rt *rapid.T) { md.run(rng, rapid.IntRange(1, 30).Draw(rt, "rounds")) },
		"run on": func(rt *rapid.T) { md.run(rng, rapid.IntRange(1, 60).Draw(rt, "rounds")) },
		"advance": func(rt *rapid.T) {
			md.advance(time.Duration(rapid.IntRange(1, 6000).Draw(rt, "ms")) * time.Millisecond)
		},
		"pause": func(rt *rapid.T) { pick(rt).paused = true },
		"resume": func(*rapid.T) {
			for _, mv := range md.vms {
				mv.paused = false
			}
		},
		"crash and restart": func(rt *rapid.T) {
			if mv := pick(rt); mv.up {
				md.refresh() // records the configuration that was in force until now
				md.start(mv, rng)
				md.reconcile(mv)
			}
		},
		"remove": func(rt *rapid.T) {
			if mv := pick(rt); mv.id.VM != "vm-0" && mv.id.VM != "vm-1" {
				md.refresh()
				mv.up, md.removed[mv.id.VM] = false, true
			}
		},
		"return": func(rt *rapid.T) {
			if mv := pick(rt); !mv.up {
				delete(md.removed, mv.id.VM)
				md.start(mv, rng)
			}
		},
		"store":     func(*rapid.T) { md.storeUp = !md.storeUp },
		"lose next": func(*rapid.T) { md.loseNext = true },
		"reconcile": func(*rapid.T) {
			md.reconcileAll()
		},
		"release": func(rt *rapid.T) {
			md.startRelease(pick(rt))
			md.reconcileAll()
		},
		"partition": func(rt *rapid.T) {
			pair := pairOf(pick(rt).id.VM, pick(rt).id.VM)
			md.cut[pair] = !md.cut[pair]
		},
		"heal": func(*rapid.T) { clear(md.cut) },
		"limit": func(rt *rapid.T) {
			md.addConfig(modelConfig(
				unit.MilliPerSecond(rapid.SampledFrom([]int64{0, 3_000, 50_000, 200_000}).Draw(rt, "rate")),
				unit.Milli(rapid.SampledFrom([]int64{500, 10_000, 80_000}).Draw(rt, "burst")),
				unit.MilliPerSecond(rapid.SampledFrom([]int64{0, 10_000, 90_000}).Draw(rt, "shift")),
				rapid.IntRange(0, 12).Draw(rt, "slots"),
			))
		},
		"configure": func(rt *rapid.T) {
			if mv := pick(rt); mv.running() {
				md.configure(mv)
			}
		},
		"leave": func(rt *rapid.T) {
			if mv := pick(rt); mv.running() {
				md.send(mv.ledger.Leave(mv.local(md.now)))
			}
		},
		"": func(rt *rapid.T) {
			if md.broken != "" && md.fault == noFault {
				rt.Fatal(md.broken)
			}
		},
	}
	for name, step := range steps {
		steps[name] = func(rt *rapid.T) {
			if name == "" {
				step(rt)
			} else if md.broken == "" {
				step(rt)
				md.run(rng, rng.IntN(30))
			}
		}
	}
	rt.Repeat(steps)
}

// drawModel returns a model with a random clock drift and a random seed.
func drawModel(rt *rapid.T, ft fault) *model {
	drift := rapid.SampledFrom([]float64{0, 0.045}).Draw(rt, "drift")
	return newModel(ft, drift, rapid.Uint64().Draw(rt, "fleet"))
}

// Guards against messages, pauses, restarts, store outages or limit changes after which the shares exceed the totals.
func TestSharesNeverExceedTotals(t *testing.T) {
	var admitted, loans int
	rapid.Check(t, func(rt *rapid.T) {
		md := drawModel(rt, noFault)
		explore(rt, md)
		admitted += md.admitted
		loans += md.loans
	})
	t.Logf("%d requests admitted, %d loans received", admitted, loans)
	if loans == 0 {
		t.Error("no loan was received, so the test checked nothing")
	}
}

// Guards against an oracle that accepts everything: it must find each injected fault.
func TestOracleFindsFaults(t *testing.T) {
	for _, ft := range []fault{countFromReply, useEntryAtOnce, acceptAnyReply, lenderForgets} {
		t.Run(string(ft), func(t *testing.T) {
			found, first := 0, ""
			rapid.Check(t, func(rt *rapid.T) {
				if found > 0 {
					return
				}
				md := drawModel(rt, ft)
				explore(rt, md)
				if md.broken != "" {
					found++
					first = md.broken
				}
			})
			if found == 0 {
				t.Error("the oracle did not find the fault")
			}
			t.Log(first)
		})
	}
}

// Guards against a fraction that the record shows as free while the VM that released it still lends it.
func TestReleaseNeedsWaiting(t *testing.T) {
	for _, ft := range []fault{noFault, releaseAtOnce} {
		md := newModel(ft, 0, 1)
		rng := rand.New(rand.NewPCG(1, 1))
		for range 40 {
			for range 20 {
				md.take(md.vms[5], "team/salon", unit.One)
			}
			for _, mv := range md.vms {
				md.tick(mv)
			}
			for len(md.network) > 0 {
				md.deliver(rng.IntN(len(md.network)), false)
			}
			md.advance(50 * time.Millisecond)
		}
		md.startRelease(md.vms[0])
		for range 100 {
			md.reconcileAll()
			md.advance(100 * time.Millisecond)
		}
		if found := md.broken != ""; found != (ft == releaseAtOnce) {
			t.Errorf("fault %q: the oracle reports %q", ft, md.broken)
		}
		if last := md.vms[6]; last.inUse == 0 {
			t.Error("the last VM did not get the released fraction")
		}
	}
}
