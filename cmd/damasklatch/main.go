// Command damasklatch runs the daemon of an entry VM or a gateway, and the operator's commands.
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
	// The first signal starts a graceful shutdown, which may wait for a long upload. After that, the default handling of
	// signals is restored, so a second signal ends the process at once.
	context.AfterFunc(ctx, stop)
	ev := cli.SystemEnv()
	ev.Adapter = platform.Adapter{}
	code := cli.Main(ctx, ev, os.Args[1:])
	stop()
	os.Exit(code)
}
