// Command damasklatch is the daemon of an entry VM and the operator's command.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"damasklatch/internal/cli"
	"damasklatch/platform"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	// The first signal starts a graceful shutdown, which may wait for a long upload. A second one ends the process.
	context.AfterFunc(ctx, stop)
	ev := cli.SystemEnv()
	ev.Adapter = platform.Adapter{}
	code := cli.Main(ctx, ev, os.Args[1:])
	stop()
	os.Exit(code)
}
