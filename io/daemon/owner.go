package daemon

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/limit"
	"damasklatch/core/unit"
	"damasklatch/internal/logfield"
	"damasklatch/io/store"
)

// Intervals of the owner. Once the VM has its entry the record changes only when VMs come and go, so reading it and the
// platform's list every 30 s is enough and costs 28 reads a second at 420 VMs.
const (
	joinInterval  = time.Second
	checkInterval = 30 * time.Second
	// unlistedAfter is the age at which a VM that the platform's list does not show counts as gone: the list lags, so
	// a VM that has just started may not be on it yet.
	unlistedAfter = time.Minute
)

// OwnershipManager keeps this VM's entry in the ownership record of its failure domain, and takes over entries of VMs that are
// gone. It tells the control goroutine what the VM owns.
type OwnershipManager struct {
	st     store.Store
	ct     *Controller
	self   limit.Entry
	domain id.FailureDomain
	reuse  func(*config.Effective) time.Duration // wait before an entry that was taken over is used
	log    *slog.Logger

	split    *limit.Split
	inUse    unit.PPM // fraction that the ledger uses
	granted  unit.PPM // fraction of the entry
	usableAt time.Time
	told     limit.OwnedFractions
}

// NewOwnershipManager returns the owner of a VM's entry. The peer address must be bound by this process already, because that is
// the proof that earlier processes at the address are gone.
func NewOwnershipManager(st store.Store, ct *Controller, log *slog.Logger) *OwnershipManager {
	return &OwnershipManager{
		st: st, ct: ct, domain: ct.Self.FailureDomain, reuse: reuseAfter, log: log,
		self: limit.Entry{VM: ct.Self.ID.VM, Incarnation: ct.Self.ID.Incarnation, PeerAddress: ct.Self.PeerAddress},
	}
}

// run keeps the entry until the context ends.
func (ow *OwnershipManager) run(ctx context.Context) {
	for {
		wait := ow.step(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
	}
}

// step checks the entry once and returns the time until the next check.
func (ow *OwnershipManager) step(ctx context.Context) time.Duration {
	cfg := ow.ct.Config()
	if cfg == nil {
		return tickInterval
	}
	if err := ow.check(ctx, cfg); err != nil {
		ow.log.Warn("ownership record not checked", logfield.FailureDomain, ow.domain, logfield.Error, err)
		return jitter(joinInterval)
	}
	ow.tell(ctx, cfg)
	switch now := time.Now(); {
	case ow.granted == 0:
		return jitter(joinInterval)
	case ow.inUse < ow.granted:
		return max(ow.usableAt.Sub(now), tickInterval)
	default:
		return jitter(checkInterval)
	}
}

// jitter spreads the calls of many VMs that started together.
func jitter(dr time.Duration) time.Duration { return dr/2 + rand.N(dr) }

// check reads the record, and writes it if this VM has no entry or can take over one.
func (ow *OwnershipManager) check(ctx context.Context, cfg *config.Effective) error {
	if err := ow.loadSplit(ctx, cfg); err != nil {
		return err
	}
	proof := limit.Proof{BoundAddress: ow.self.PeerAddress, Gone: ow.goneFilter(ctx)}
	var granted unit.PPM
	takenOver := false
	_, err := store.Update(ctx, ow.st, limit.RecordKey(ow.domain), func(old []byte) ([]byte, error) {
		rc, err := ow.parse(old)
		if err != nil {
			return nil, err
		}
		next, over := rc.Join(ow.self, ow.split.JoinFraction(cfg, ow.domain), proof)
		if reclaimed, more := next.Reclaim(ow.self.ID(), proof.Gone); more {
			next, over = reclaimed, true
		}
		en, _ := next.Entry(ow.self.ID())
		granted, takenOver = en.PPM, over
		if next == rc && old != nil {
			return old, nil
		}
		return next.Encode(), nil
	})
	if err != nil {
		return errors.Wrap(err, "ownership record")
	}
	ow.accept(granted, takenOver, ow.reuse(cfg))
	return nil
}

// reuseAfter returns how long loans of an earlier holder may be in use. The earlier holder may have given them under a
// configuration with the default duration, so that counts too.
func reuseAfter(cfg *config.Effective) time.Duration {
	current := limit.Settings{LoanDuration: cfg.Settings.LoanDuration}
	return max(current.ReuseAfter(), limit.Settings{}.ReuseAfter())
}

func (ow *OwnershipManager) parse(old []byte) (*limit.Record, error) {
	if old == nil {
		return limit.NewRecord(ow.domain, ow.split.FailureDomains[ow.domain]), nil
	}
	return limit.ParseRecord(old)
}

// loadSplit reads the split between failure domains, or creates it. It never changes afterwards.
func (ow *OwnershipManager) loadSplit(ctx context.Context, cfg *config.Effective) error {
	if ow.split != nil {
		return nil
	}
	ob, err := store.Update(ctx, ow.st, limit.SplitKey, func(old []byte) ([]byte, error) {
		if old != nil {
			return old, nil
		}
		var fds []id.FailureDomain
		for _, fd := range cfg.FailureDomains {
			fds = append(fds, fd.Name)
		}
		return limit.EqualSplit(fds).Encode(), nil
	})
	if err != nil {
		return errors.Wrap(err, "split of shares")
	}
	ow.split, err = limit.ParseSplit(ob.Value)
	return err
}

// goneFilter reads the platform's list and returns a filter for entries whose VM is gone. If the list can't be read,
// no VM counts as gone.
func (ow *OwnershipManager) goneFilter(ctx context.Context) func(limit.Entry) bool {
	none := func(limit.Entry) bool { return false }
	vms, err := ow.st.VMs(ctx)
	if err != nil {
		return none
	}
	if err := ow.ct.post(ctx, platformMsg{vms: vms}); err != nil {
		return none
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.PeerAddress] = true
	}
	now := time.Now()
	return func(en limit.Entry) bool {
		started := time.Unix(0, int64(en.Incarnation))
		return len(vms) > 0 && !listed[en.PeerAddress] && now.Sub(started) > unlistedAfter
	}
}

// accept takes note of the entry as stored. What an earlier holder may have lent is used only after its loans ended.
func (ow *OwnershipManager) accept(granted unit.PPM, takenOver bool, reuse time.Duration) {
	if granted == ow.granted {
		return
	}
	ow.granted = granted
	ow.inUse = min(ow.inUse, granted)
	ow.usableAt = time.Now()
	if takenOver {
		ow.usableAt = ow.usableAt.Add(reuse)
	}
	ow.log.Info("entry of the ownership record changed",
		logfield.FailureDomain, ow.domain, "ppm", granted, "taken_over", takenOver)
}

// tell passes what the VM owns to the control goroutine, if it changed.
func (ow *OwnershipManager) tell(ctx context.Context, cfg *config.Effective) {
	if !time.Now().Before(ow.usableAt) {
		ow.inUse = ow.granted
	}
	owned := ow.split.OwnedFractions(cfg, ow.domain, ow.inUse)
	if owned.Equal(ow.told) {
		return
	}
	if ow.ct.post(ctx, ownedMsg{owned: owned}) == nil {
		ow.told = owned
	}
}
