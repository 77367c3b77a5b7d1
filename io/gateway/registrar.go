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
	// registerPause is the pause after a registration that was not written.
	registerPause = 200 * time.Millisecond
	// beatEvery is the period in which the registration is renewed while nobody hears this VM. Several fit into
	// roster.ForgetAfter.
	beatEvery = 2 * time.Second
	// registerLimit bounds the time of one write.
	registerLimit = time.Second
)

// registrar keeps the registration of this VM in the store. While nobody hears the VM, it renews the registration,
// so that others see that it is alive and keeps its limits. It does the same on request.
type registrar struct {
	store    objects.Store
	registry ObjectCodec
	roster   *roster.Roster
	self     roster.Peer
	log      *slog.Logger
	renewals chan struct{}
}

// show asks for a renewal of the registration.
func (rg *registrar) show() {
	select {
	case rg.renewals <- struct{}{}:
	default: // one is asked for already
	}
}

func (rg *registrar) run(ctx context.Context) {
	for !rg.create(ctx) && !rg.write(ctx) {
		if !rg.wait(ctx, registerPause) {
			return
		}
	}
	tk := time.NewTicker(beatEvery)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-rg.renewals:
			rg.beat(ctx)
		case <-tk.C:
			if rg.roster.NeedsHeartbeat(time.Now()) {
				rg.beat(ctx)
			}
		}
	}
}

func (rg *registrar) beat(ctx context.Context) {
	rg.self.Heartbeat++
	rg.write(ctx)
}

// create writes the registration of a VM that has none, which is the usual case when a fleet starts.
func (rg *registrar) create(ctx context.Context) bool {
	wctx, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	err := rg.store.Create(wctx, rg.registry.Kinds().VMs, string(rg.self.VM), rg.registry.EncodePeer(rg.self))
	if err != nil && !errors.Is(err, objects.ErrConflict) {
		rg.log.Warn("registration is not created", "error", err.Error())
	}
	return err == nil
}

func (rg *registrar) write(ctx context.Context) bool {
	wctx, cancel := context.WithTimeout(ctx, registerLimit)
	defer cancel()
	err := rg.store.Put(wctx, rg.registry.Kinds().VMs, string(rg.self.VM), rg.registry.EncodePeer(rg.self))
	if err != nil {
		rg.log.Warn("registration is not written", "error", err.Error())
	}
	return err == nil
}

// wait reports false if the context ends first.
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
