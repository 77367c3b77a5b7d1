package scenario_test

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"damasklatch/internal/cli"
	"damasklatch/internal/scenario"
	standin "damasklatch/internal/standin/cli"
)

func TestMain(m *testing.M) {
	// Each script runs about 20 processes. More than two scripts at once overload the machine and cause timeouts.
	if err := flag.Set("test.parallel", "2"); err != nil {
		panic(err)
	}
	testscript.Main(m, map[string]func(){
		"damasklatch": func() { os.Exit(cli.Main(signaled(), cli.SystemEnv(), os.Args[1:])) },
		"damasklatch-standin": func() {
			os.Exit(standin.Run(signaled(), os.Args[1:], os.Stdout, os.Stderr))
		},
	})
}

// signaled returns a context that is canceled on SIGINT or SIGTERM, as in the main packages.
func signaled() context.Context {
	ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return ctx
}

// Runs every script in testdata against real processes. The comment at the top of each script tells which failures it
// guards against.
func TestScenarios(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: scenario.Setup,
		Cmds:  scenario.Commands(examples),
	})
}
