package gateway

import (
	"context"
	"log/slog"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/roster"
	"damasklatch/io/objects"
)

const (
	// registerRetryInterval is the pause after a failed attempt to write the first registration.
	registerRetryInterval = 200 * time.Millisecond
	// heartbeatInterval is the interval between heartbeats. It must be a small part of roster.ForgetAfter, so that a few
	// failed writes do no harm.
	heartbeatInterval = 2 * time.Second
	// registerTimeout is the time limit of a write to the store.
	registerTimeout = time.Second
)

// registrar keeps the registration of this VM in the store. While the roster needs heartbeats, because peers don't hear this
// VM or this VM doesn't hear a peer of its failure domain, it renews the registration, so that peers see that this VM is
// alive and keeps its share of the limits. It also renews the registration on request.
type registrar struct {
	store    objects.Store
	codec    ObjectCodec
	roster   *roster.Roster
	beats    uint64 // heartbeat counter of the registration
	log      *slog.Logger
	renewals chan struct{}
}

// requestRenewal makes run renew the registration. It doesn't block.
func (rg *registrar) requestRenewal() {
	select {
	case rg.renewals <- struct{}{}:
	default: // a renewal is already requested
	}
}

// run writes the registration and renews it until the context is canceled.
func (rg *registrar) run(ctx context.Context) {
	for !rg.create(ctx) && !rg.write(ctx) {
		if !rg.wait(ctx, registerRetryInterval) {
			return
		}
	}
	tk := time.NewTicker(heartbeatInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rg.renewals:
			rg.heartbeat(ctx)
		case <-tk.C:
			if rg.roster.NeedsHeartbeat(time.Now()) {
				rg.heartbeat(ctx)
			}
		}
	}
}

func (rg *registrar) heartbeat(ctx context.Context) {
	rg.beats++
	rg.write(ctx)
}

// registration returns the present registration of this VM.
func (rg *registrar) registration() roster.Peer {
	pr := rg.roster.Self()
	pr.Heartbeat = rg.beats
	return pr
}

// create writes the registration if the VM has none yet, which is the usual case when a fleet starts. It reports whether it
// did.
func (rg *registrar) create(ctx context.Context) bool {
	wctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	pr := rg.registration()
	err := rg.store.Create(wctx, rg.codec.Kinds().VMs, string(pr.VM), rg.codec.EncodePeer(pr))
	if err != nil && !errors.Is(err, objects.ErrConflict) {
		rg.log.Warn("creating the registration of this VM failed", "error", err.Error())
	}
	return err == nil
}

func (rg *registrar) write(ctx context.Context) bool {
	wctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	pr := rg.registration()
	err := rg.store.Put(wctx, rg.codec.Kinds().VMs, string(pr.VM), rg.codec.EncodePeer(pr))
	if err != nil {
		rg.log.Warn("writing the registration of this VM failed", "error", err.Error())
	}
	return err == nil
}

// wait waits for a duration. It returns false if the context is canceled first.
func (rg *registrar) wait(ctx context.Context, dur time.Duration) bool {
	tm := time.NewTimer(dur)
	defer tm.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-tm.C:
		return true
	}
}
