package gateway

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/lease"
	"damasklatch/core/placement"
)

// Loader loads the settings. It is called at the start and for each reload.
type Loader func() (*config.GatewaySettings, error)

// reloader loads the settings again when the process receives SIGHUP, and applies those that can change while it runs: the
// log level, the duration of the lease and the retry ratio. Other settings take effect at the next start.
type reloader struct {
	load   Loader
	level  *slog.LevelVar
	lease  *lease.Lease
	budget *placement.RetryBudget
	log    *slog.Logger
	signal hangups
}

// hangups receives SIGHUP. The process keeps receiving it until its end: by default, the signal would end the process, and it may
// arrive before the settings are read or during the shutdown.
type hangups <-chan os.Signal

func newHangups() hangups {
	ch := make(chan os.Signal, 1)
	signal.Notify(ch, syscall.SIGHUP)
	return ch
}

func newReloader(load Loader, lv *slog.LevelVar, ls *lease.Lease, bg *placement.RetryBudget,
	log *slog.Logger, hu hangups) *reloader {
	return &reloader{load: load, level: lv, lease: ls, budget: bg, log: log, signal: hu}
}

func (rl *reloader) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-rl.signal:
			rl.reload()
		}
	}
}

func (rl *reloader) reload() {
	began := time.Now()
	gs, err := rl.load()
	if err != nil {
		rl.log.Error("reloaded settings are invalid, the current ones stay in force", "error", err.Error())
		return
	}
	rl.level.Set(gs.LogLevel)
	rl.lease.SetDuration(gs.RevokeWithin - leaseMargin)
	rl.budget.SetRatio(gs.RetryRatio)
	rl.log.Info("settings reloaded", "duration_ms", time.Since(began).Milliseconds())
}
