// Command damasklatch-standin simulates the systems that damasklatch works with: the platform, targets and callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"damasklatch/internal/standin/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := cli.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
