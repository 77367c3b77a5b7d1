// Command damasklatch-bench measures damasklatch on the loopback interface and writes the page of measurements.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"damasklatch/internal/bench"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	status := bench.Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(status)
}
