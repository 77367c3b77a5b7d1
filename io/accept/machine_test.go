package accept_test

import (
	"context"
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/fixedseed"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"

	"pgregory.net/rapid"
)

// machine draws what the operators do and how the store fails.
type machine struct {
	wd  *world
	ctx context.Context
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
		fa.DelayBefore, fa.DelayAfter = drawMS(rt, 4000, "before"), drawMS(rt, 3000, "after")
	case 3:
		fa.LoseRequests, fa.LoseAnswers = rapid.IntRange(0, 3).Draw(rt, "requests"), rapid.IntRange(0, 3).Draw(rt, "answers")
		fa.Reset = rapid.Bool().Draw(rt, "reset")
	case 4:
		fa.LoseAnswers, fa.StaleBy = platform.EveryCall, drawMS(rt, 5_000, "stale")
	case 5:
		fa.StaleBy = drawMS(rt, 30_000, "stale")
	}
	return fa
}

// job starts a job of an operator that is free.
func (mc *machine) job(rt *rapid.T, make func() *job) {
	op := mc.wd.ops[rapid.IntRange(0, len(mc.wd.ops)-1).Draw(rt, "operator")]
	synctest.Wait()
	if op.busy {
		return
	}
	jb := make()
	if jb == nil {
		return
	}
	if rapid.Bool().Draw(rt, "fault at update") {
		fa := drawFaults(rt)
		op.arm(&fa)
	}
	op.start(mc.ctx, jb)
}

// limit draws the time that a job may take. Short ones stand for commands that are interrupted.
func limit(rt *rapid.T) time.Duration {
	if rapid.Bool().Draw(rt, "short") {
		return drawMS(rt, 3000, "limit")
	}
	return 20 * time.Second
}

func (mc *machine) actions() map[string]func(*rapid.T) {
	wd := mc.wd
	return map[string]func(*rapid.T){
		"propose": func(rt *rapid.T) {
			mc.job(rt, func() *job {
				jb := wd.newJob(propose, limit(rt))
				jb.sources = sources(wd.next, rapid.IntRange(0, 3).Draw(rt, "shop") > 0)
				return jb
			})
		},
		"accept":       mc.accept,
		"accept again": mc.accept,
		"issue": func(rt *rapid.T) {
			mc.job(rt, func() *job {
				jb := wd.newJob(issue, limit(rt))
				team := rapid.SampledFrom([]id.Team{"lab", "shop"}).Draw(rt, "team")
				jb.key = config.Key{Digest: config.KeyDigest{byte(wd.next << 6), byte(wd.next)}, Team: team}
				return jb
			})
		},
		"withdraw": func(rt *rapid.T) {
			mc.job(rt, func() *job {
				if len(wd.issued) == 0 {
					return nil
				}
				jb := wd.newJob(withdraw, limit(rt))
				jb.key = rapid.SampledFrom(wd.issued).Draw(rt, "key")
				return jb
			})
		},
		"store fault": func(rt *rapid.T) { wd.st.SetFaults(drawFaults(rt)) },
		"client fault": func(rt *rapid.T) {
			wd.ops[rapid.IntRange(0, len(wd.ops)-1).Draw(rt, "operator")].client.SetClientFaults(drawFaults(rt))
		},
		"no faults": func(*rapid.T) { mc.recover() },
		"wait":      func(rt *rapid.T) { time.Sleep(drawMS(rt, 5000, "time")) },
		"":          mc.check,
	}
}

// accept lets an operator accept one of the latest proposals, also one that another operator accepts now or has
// accepted before.
func (mc *machine) accept(rt *rapid.T) {
	mc.job(rt, func() *job {
		nr := len(mc.wd.proposals)
		if nr == 0 {
			return nil
		}
		pp := mc.wd.proposals[rapid.IntRange(max(0, nr-3), nr-1).Draw(rt, "proposal")]
		return &job{kind: acceptPP, op: pp.op, limit: limit(rt)}
	})
}

func (mc *machine) check(rt *rapid.T) {
	synctest.Wait()
	if errs := mc.wd.check(); len(errs) > 0 {
		rt.Fatalf("%v", errors.Join(errs...))
	}
}

func (mc *machine) recover() {
	mc.wd.st.SetFaults(platform.Faults{})
	for _, op := range mc.wd.ops {
		op.arm(nil)
		op.client.SetClientFaults(platform.Faults{})
	}
}

// begin accepts a first configuration.
func (mc *machine) begin() {
	jb := mc.wd.newJob(propose, time.Second)
	jb.sources = sources(mc.wd.next, true)
	mc.wd.ops[0].start(mc.ctx, jb)
	mc.wd.wg.Wait()
	mc.wd.ops[0].start(mc.ctx, &job{kind: acceptPP, op: jb.op, limit: time.Second})
	mc.wd.wg.Wait()
}

// all lets every operator issue a key at the same time. Without faults all succeed, since keys are rebased.
func (mc *machine) all(rt *rapid.T) {
	if len(mc.wd.history) == 0 {
		return
	}
	var jobs []*job
	for _, op := range mc.wd.ops {
		jb := mc.wd.newJob(issue, 20*time.Second)
		jb.key = config.Key{Digest: config.KeyDigest{0xff, byte(mc.wd.next)}, Team: "lab"}
		op.start(mc.ctx, jb)
		jobs = append(jobs, jb)
	}
	mc.wd.wg.Wait()
	mc.check(rt)
	for _, jb := range jobs {
		if jb.err != nil {
			rt.Fatalf("issue %s failed without a fault: %v", jb.op, jb.err)
		}
	}
}

// end lets every job and every delayed write end. Then the stored configuration must be what the accepted changes
// give, one after the other.
func (mc *machine) end(rt *rapid.T) {
	mc.recover()
	mc.wd.wg.Wait()
	time.Sleep(time.Minute)
	mc.check(rt)
	mc.all(rt)
	keys, base := mc.wd.replay()
	acc := mc.wd.ops[0].acc
	sn, err := acc.Current(mc.ctx)
	if err != nil {
		rt.Fatal(err)
	}
	if sn.Manifest == nil {
		return
	}
	ef, err := acc.Load(mc.ctx, sn.Manifest)
	if err != nil {
		rt.Fatalf("the accepted configuration cannot be built: %v", err)
	}
	got := map[config.KeyDigest]config.Key{}
	for _, ky := range ef.Keys {
		got[ky.Digest] = ky
	}
	if !maps.Equal(got, keys) {
		rt.Fatalf("keys are %v, the history gives %v", got, keys)
	}
	if ref, _ := sn.Manifest.Part(config.BasePartName); ref != config.NewPartRef(config.BasePartName, []byte(base)) {
		rt.Fatalf("the base file is not that of the last proposal that was accepted")
	}
	for _, jb := range mc.wd.jobs {
		if jb.kind == withdraw && jb.err == nil && !got[jb.key.Digest].Revoked {
			rt.Fatalf("withdrawal %s succeeded, but the key is active", jb.op)
		}
	}
}

// checkMachine returns the failure, and how often operators were told what.
func checkMachine(t *testing.T, wrap func(store.Store) store.Store) (text string, told map[string]int) {
	told = make(map[string]int)
	text = fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		mc := &machine{wd: newWorld(wrap), ctx: context.Background()}
		defer mc.wd.wg.Wait()
		if rapid.IntRange(0, 3).Draw(rt, "begin") > 0 {
			mc.begin()
		}
		rt.Repeat(mc.actions())
		mc.end(rt)
		mc.wd.outcomes(told)
	})
	return text, told
}

// Guards against a change that is applied twice or lost, a history with gaps, and an operator who is told a wrong
// outcome, while the store is down, slow, loses answers after the write, and returns stale reads.
func TestMachine(t *testing.T) {
	text, told := checkMachine(t, func(st store.Store) store.Store { return st })
	if text != "" {
		t.Error(text)
	}
	t.Logf("outcomes: %v", told)
}

// liar turns a write without an answer into one without an effect, and updates the manifest unconditionally if so
// told.
type liar struct {
	store.Store
	unconditional bool
}

func (lr *liar) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
	if obj, err := lr.Get(ctx, key); err == nil && lr.unconditional && key == config.ManifestKey && len(value) > 0 {
		expected = obj.Version
	}
	version, err := lr.Store.Put(ctx, key, value, expected)
	var er *store.Error
	if !lr.unconditional && errors.As(err, &er) && er.Kind == store.Unknown {
		er.Kind = store.Unavailable
	}
	return version, err
}

// Guards against an oracle that cannot fail.
func TestMachineNoticesFaults(t *testing.T) {
	for _, unconditional := range []bool{false, true} {
		text, _ := checkMachine(t, func(st store.Store) store.Store { return &liar{Store: st, unconditional: unconditional} })
		if text == "" {
			t.Errorf("the state machine accepts a store that lies (unconditional updates: %v)", unconditional)
		}
	}
}
