package cli

import (
	"context"
	"errors"
	"log/slog"
	"os"

	"damasklatch/core/config"
	"damasklatch/io/daemon"
)

// Entry runs the daemon of an entry VM.
type Entry struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of this VM, - for standard input"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Examples implements Command.
func (*Entry) Examples() []string {
	return []string{
		"damasklatch entry --settings settings/north-a-1.yaml",
		"damasklatch entry --settings settings/north-a-1.yaml --check",
	}
}

// Run implements Command. When the context ends, it shuts the daemon down gracefully and returns.
func (en *Entry) Run(ctx context.Context, ev *Env) error {
	src, err := readFile(ev, en.Settings)
	if err != nil {
		return err
	}
	ds, err := config.ParseDaemonSettings(en.Settings, src, os.ReadFile)
	if err != nil {
		var faults config.Errors
		if errors.As(err, &faults) {
			return err
		}
		return inputErrorf("%v", err)
	}
	if en.Check {
		return nil
	}
	log := slog.New(slog.NewJSONHandler(ev.Stderr, &slog.HandlerOptions{Level: ds.LogLevel}))
	return daemon.Run(ctx, ds, log)
}
