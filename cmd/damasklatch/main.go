// Command damasklatch runs the daemon of an entry VM or a gateway, and the operator's commands.
package main

import (
	"context"
	"os"

	"damasklatch/internal/cli"
	"damasklatch/internal/stopsignal"
	"damasklatch/platform"
)

func main() {
	ctx, stop := stopsignal.NewContext(context.Background())
	ev := cli.SystemEnv()
	ev.Adapter = platform.Adapter{}
	code := cli.Main(ctx, ev, os.Args[1:])
	stop()
	os.Exit(code)
}
