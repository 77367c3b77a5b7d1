package cli

import (
	"context"

	"damasklatch/core/config"
	"damasklatch/io/gateway"
)

// Gateway runs the daemon for deployments whose targets register themselves on a platform.
type Gateway struct {
	Settings string `arg:"--settings,required" placeholder:"FILE" help:"settings of this VM, - for standard input"`
	Check    bool   `arg:"--check" help:"check the settings and exit"`
}

// Examples implements Command.
func (*Gateway) Examples() []string {
	return []string{
		"damasklatch gateway --settings settings.yaml",
		"damasklatch gateway --settings settings.yaml --check",
	}
}

// Run implements Command. When the context ends, it shuts the daemon down gracefully and returns.
func (gw *Gateway) Run(ctx context.Context, ev *Env) error {
	ld := &gatewayLoader{file: gw.Settings, ev: ev}
	if gw.Check {
		_, err := ld.load()
		return err
	}
	if ev.Adapter == nil {
		return inputErrorf("this build has no platform adapter")
	}
	return gateway.Run(ctx, ld.load, ev.Adapter, ev.Stdout)
}

// gatewayLoader reads the settings of a gateway from a file or standard input.
type gatewayLoader struct {
	file string
	ev   *Env
}

func (ld *gatewayLoader) load() (*config.GatewaySettings, error) {
	src, err := readFile(ld.ev, ld.file)
	if err != nil {
		return nil, err
	}
	return config.ParseGatewaySettings(ld.file, src)
}
