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

// Intervals of the ownership manager. Once the VM has its entry, the record changes only when VMs are added or removed.
// Reading the record and the platform's list every 30 s is therefore enough, and costs 28 reads per second at 420 VMs.
const (
	joinInterval  = time.Second
	checkInterval = 30 * time.Second
	// unlistedAfter is the time for which an entry must have been known before its VM counts as gone because the platform's list
	// does not contain it. The list is updated with a delay, so a VM that has just started may be missing from it.
	unlistedAfter = time.Minute
)

// OwnershipManager maintains this VM's entry in the ownership record of its failure domain and takes over the entries of
// VMs that are gone. It reports to the control goroutine which fractions of the limits the VM owns.
type OwnershipManager struct {
	st         store.Store
	ct         *Controller
	self       limit.Entry
	domain     id.FailureDomain
	reuseAfter func(*config.Effective) time.Duration // wait before the fraction of an entry that was taken over is used
	log        *slog.Logger

	split    *limit.Split
	inUse    unit.PPM  // fraction that the ledger may use now
	granted  unit.PPM  // fraction in the VM's entry of the record
	usableAt time.Time // when inUse becomes granted
	// knownSince tells when this process first saw the entries of the record. Start times of other processes are not comparable,
	// because the clock of their VM may be wrong.
	knownSince map[id.VMIncarnation]time.Time
	reported   limit.OwnedFractions // fractions last reported to the control goroutine
}

// NewOwnershipManager returns the ownership manager of this VM. This process must have bound the peer address before the
// manager runs: that proves that earlier processes at the address are gone.
func NewOwnershipManager(st store.Store, ct *Controller, log *slog.Logger) *OwnershipManager {
	return &OwnershipManager{
		st: st, ct: ct, domain: ct.Self.FailureDomain, reuseAfter: reuseAfter, log: log, knownSince: map[id.VMIncarnation]time.Time{},
		self: limit.Entry{VM: ct.Self.ID.VM, Incarnation: ct.Self.ID.Incarnation, PeerAddress: ct.Self.PeerAddress},
	}
}

// run maintains the entry until the context ends.
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
	if err := ow.updateRecord(ctx, cfg); err != nil {
		ow.log.Warn("ownership record not checked, will retry", logfield.FailureDomain, ow.domain, logfield.Error, err)
		return jitter(joinInterval)
	}
	ow.reportOwned(ctx, cfg)
	switch now := time.Now(); {
	case ow.granted == 0:
		return jitter(joinInterval)
	case ow.inUse < ow.granted:
		return max(ow.usableAt.Sub(now), tickInterval)
	default:
		return jitter(checkInterval)
	}
}

// jitter returns a random duration between half and one and a half times dr, so that VMs that started together do not
// call the store at the same time.
func jitter(dr time.Duration) time.Duration { return dr/2 + rand.N(dr) }

// updateRecord reads the record. It writes the record if this VM has no entry yet or can take over another VM's entry.
func (ow *OwnershipManager) updateRecord(ctx context.Context, cfg *config.Effective) error {
	if err := ow.loadSplit(ctx, cfg); err != nil {
		return err
	}
	proof := limit.Proof{BoundAddress: ow.self.PeerAddress, Gone: ow.loadGoneFilter(ctx)}
	var granted unit.PPM
	takenOver := false
	_, err := store.Update(ctx, ow.st, limit.RecordKey(ow.domain), func(old []byte) ([]byte, error) {
		rc, err := ow.parseRecord(old)
		if err != nil {
			return nil, err
		}
		ow.noteEntries(time.Now(), rc)
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
		return errors.Wrap(err, "update ownership record")
	}
	ow.recordGranted(granted, takenOver, ow.reuseAfter(cfg))
	return nil
}

// noteEntries updates knownSince.
func (ow *OwnershipManager) noteEntries(now time.Time, rc *limit.Record) {
	since := make(map[id.VMIncarnation]time.Time, len(rc.Entries))
	for _, en := range rc.Entries {
		since[en.ID()] = now
		if at, ok := ow.knownSince[en.ID()]; ok {
			since[en.ID()] = at
		}
	}
	ow.knownSince = since
}

// reuseAfter returns how long loans granted by the previous owner of an entry may stay in use. The previous owner may
// have granted them under a configuration with the default loan duration, so the longer of both durations applies.
func reuseAfter(cfg *config.Effective) time.Duration {
	current := limit.Settings{LoanDuration: cfg.Settings.LoanDuration}
	return max(current.ReuseAfter(), limit.Settings{}.ReuseAfter())
}

func (ow *OwnershipManager) parseRecord(old []byte) (*limit.Record, error) {
	if old == nil {
		return limit.NewRecord(ow.domain, ow.split.FailureDomains[ow.domain]), nil
	}
	return limit.ParseRecord(old)
}

// loadSplit reads the split of the limits between failure domains, or creates it if the store has none. A stored split
// never changes.
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
		return errors.Wrap(err, "read or create the split between failure domains")
	}
	ow.split, err = limit.ParseSplit(ob.Value)
	return err
}

// loadGoneFilter reads the platform's list of VMs and returns a function that reports whether the VM of an entry is gone.
// If the list can't be read, no VM counts as gone.
func (ow *OwnershipManager) loadGoneFilter(ctx context.Context) func(limit.Entry) bool {
	none := func(limit.Entry) bool { return false }
	vms, err := ow.st.VMs(ctx)
	if err != nil {
		return none
	}
	if err := ow.ct.post(ctx, vmListMsg{vms: vms}); err != nil {
		return none
	}
	listed := make(map[string]bool, len(vms))
	for _, vm := range vms {
		listed[vm.PeerAddress] = true
	}
	now := time.Now()
	return func(en limit.Entry) bool {
		since, known := ow.knownSince[en.ID()]
		return len(vms) > 0 && !listed[en.PeerAddress] && known && now.Sub(since) > unlistedAfter
	}
}

// recordGranted records the fraction of the stored entry. If the entry was taken over, the fraction is used only after the
// loans that the previous owner may have granted have expired.
func (ow *OwnershipManager) recordGranted(granted unit.PPM, takenOver bool, reuse time.Duration) {
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

// reportOwned reports the fractions that the VM owns to the control goroutine if they changed.
func (ow *OwnershipManager) reportOwned(ctx context.Context, cfg *config.Effective) {
	if !time.Now().Before(ow.usableAt) {
		ow.inUse = ow.granted
	}
	owned := ow.split.OwnedFractions(cfg, ow.domain, ow.inUse)
	if owned.Equal(ow.reported) {
		return
	}
	if ow.ct.post(ctx, ownedMsg{owned: owned}) == nil {
		ow.reported = owned
	}
}
