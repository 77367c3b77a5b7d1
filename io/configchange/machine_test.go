package configchange_test

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

// stateMachine draws random actions of operators and faults of the store.
type stateMachine struct {
	wd  *environment
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

// startJob starts a job on a random operator, unless the operator is busy or make returns nil.
func (mc *stateMachine) startJob(rt *rapid.T, make func() *job) {
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

// limit draws the time limit of a job. Short limits simulate interrupted commands.
func limit(rt *rapid.T) time.Duration {
	if rapid.Bool().Draw(rt, "short") {
		return drawMS(rt, 3000, "limit")
	}
	return 20 * time.Second
}

func (mc *stateMachine) actions() map[string]func(*rapid.T) {
	wd := mc.wd
	return map[string]func(*rapid.T){
		"propose": func(rt *rapid.T) {
			mc.startJob(rt, func() *job {
				jb := wd.newJob(propose, limit(rt))
				jb.sources = sources(wd.next, rapid.IntRange(0, 3).Draw(rt, "shop") > 0)
				return jb
			})
		},
		"accept":       mc.accept,
		"accept again": mc.accept,
		"issue": func(rt *rapid.T) {
			mc.startJob(rt, func() *job {
				jb := wd.newJob(issue, limit(rt))
				team := rapid.SampledFrom([]id.Team{"lab", "shop"}).Draw(rt, "team")
				jb.key = config.Key{Digest: config.KeyDigest{byte(wd.next << 6), byte(wd.next)}, Team: team}
				return jb
			})
		},
		"withdraw": func(rt *rapid.T) {
			mc.startJob(rt, func() *job {
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
		"no faults": func(*rapid.T) { mc.clearFaults() },
		"wait":      func(rt *rapid.T) { time.Sleep(drawMS(rt, 5000, "time")) },
		"":          mc.check,
	}
}

// accept lets an operator accept one of the latest proposals, even if another operator is accepting it or has accepted
// it.
func (mc *stateMachine) accept(rt *rapid.T) {
	mc.startJob(rt, func() *job {
		nr := len(mc.wd.proposals)
		if nr == 0 {
			return nil
		}
		pp := mc.wd.proposals[rapid.IntRange(max(0, nr-3), nr-1).Draw(rt, "proposal")]
		return &job{kind: acceptPP, op: pp.op, limit: limit(rt)}
	})
}

func (mc *stateMachine) check(rt *rapid.T) {
	synctest.Wait()
	if errs := mc.wd.check(); len(errs) > 0 {
		rt.Fatalf("%v", errors.Join(errs...))
	}
}

// clearFaults ends all faults, also those prepared for the next update of the manifest.
func (mc *stateMachine) clearFaults() {
	mc.wd.st.SetFaults(platform.Faults{})
	for _, op := range mc.wd.ops {
		op.arm(nil)
		op.client.SetClientFaults(platform.Faults{})
	}
}

// acceptFirst proposes and accepts a first configuration.
func (mc *stateMachine) acceptFirst() {
	jb := mc.wd.newJob(propose, time.Second)
	jb.sources = sources(mc.wd.next, true)
	mc.wd.ops[0].start(mc.ctx, jb)
	mc.wd.wg.Wait()
	mc.wd.ops[0].start(mc.ctx, &job{kind: acceptPP, op: jb.op, limit: time.Second})
	mc.wd.wg.Wait()
}

// issueConcurrently lets every operator issue a key at the same time. Without faults all succeed, because edits of keys
// are applied again after a conflict.
func (mc *stateMachine) issueConcurrently(rt *rapid.T) {
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

// verifyEnd waits for every job and every delayed write. Then the stored configuration must be the result of the
// accepted changes, applied in order.
func (mc *stateMachine) verifyEnd(rt *rapid.T) {
	mc.clearFaults()
	mc.wd.wg.Wait()
	time.Sleep(time.Minute)
	mc.check(rt)
	mc.issueConcurrently(rt)
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
		rt.Fatalf("the accepted configuration can't be built: %v", err)
	}
	got := map[config.KeyDigest]config.Key{}
	for _, ky := range ef.Keys {
		got[ky.Digest] = ky
	}
	if !maps.Equal(got, keys) {
		rt.Fatalf("stored keys are %v, but the history results in %v", got, keys)
	}
	if ref, _ := sn.Manifest.Part(config.BasePartName); ref != config.NewPartRef(config.BasePartName, []byte(base)) {
		rt.Fatalf("the base file is not the one of the last accepted proposal")
	}
	for _, jb := range mc.wd.jobs {
		if jb.kind == withdraw && jb.err == nil && !got[jb.key.Digest].Revoked {
			rt.Fatalf("withdrawal %s succeeded, but the key is active", jb.op)
		}
	}
}

// checkMachine runs the state machine. It returns the text of the failure, or the empty string, and counts the outcomes
// that operators were told.
func checkMachine(t *testing.T, wrap func(store.Store) store.Store) (text string, outcomes map[string]int) {
	outcomes = make(map[string]int)
	text = fixedseed.CheckInBubble(t, func(rt *rapid.T) {
		mc := &stateMachine{wd: newEnvironment(wrap), ctx: context.Background()}
		defer mc.wd.wg.Wait()
		if rapid.IntRange(0, 3).Draw(rt, "begin") > 0 {
			mc.acceptFirst()
		}
		rt.Repeat(mc.actions())
		mc.verifyEnd(rt)
		mc.wd.countOutcomes(outcomes)
	})
	return text, outcomes
}

// Guards against a change that is applied twice or lost, a history with gaps, and a wrong outcome reported to an
// operator, while the store is down or slow, loses responses after a write, or returns stale reads.
func TestMachine(t *testing.T) {
	text, told := checkMachine(t, func(st store.Store) store.Store { return st })
	if text != "" {
		t.Error(text)
	}
	t.Logf("outcomes: %v", told)
}

// faultyStore breaks one guarantee of the store: it either reports a write without a response as one without effect, or
// updates the manifest unconditionally.
type faultyStore struct {
	store.Store
	unconditional bool
}

func (lr *faultyStore) Put(ctx context.Context, key string, value []byte, expected store.Version) (store.Version, error) {
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

// Guards against checks that cannot fail: they must detect a store that breaks its guarantees.
func TestMachineNoticesFaults(t *testing.T) {
	for _, unconditional := range []bool{false, true} {
		text, _ := checkMachine(t, func(st store.Store) store.Store { return &faultyStore{Store: st, unconditional: unconditional} })
		if text == "" {
			t.Errorf("the state machine doesn't detect a store that breaks its guarantees (unconditional updates: %v)", unconditional)
		}
	}
}
