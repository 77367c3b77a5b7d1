package cli_test

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/cli"
	"damasklatch/internal/standin/platform"
	"damasklatch/io/peer/peerpb"
	"damasklatch/io/store"

	"github.com/rogpeppe/go-internal/testscript"
)

var update = flag.Bool("update", false, "rewrite the expected output in the scripts")

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"damasklatch": runProgram})
}

// runProgram runs the program with a fixed time, random bytes from the seed in the variable SEED, and fake daemons that
// have the generation in the variable IN_FORCE in force. It prints exit codes, because testscript does not compare them.
func runProgram() {
	ev := cli.SystemEnv()
	ev.Now = func() time.Time { return time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC) }
	ev.Random = rand.NewChaCha8([32]byte([]byte(fmt.Sprintf("%32s", os.Getenv("SEED")))))
	ev.OpenOperator = func(string) cli.OperatorClient { return fakeDaemons{} }
	code := cli.Main(context.Background(), ev, os.Args[1:])
	if code != cli.ExitOK {
		fmt.Fprintf(os.Stderr, "[exit code %d]\n", code)
	}
	os.Exit(code)
}

// fakeDaemons replaces the daemons of all VMs. Daemons with an even port can't be reached.
type fakeDaemons struct{}

func (fakeDaemons) generation(address string) (uint64, error) {
	port, err := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
	if err != nil || port%2 == 0 {
		return 0, errors.New("connection refused")
	}
	return strconv.ParseUint(os.Getenv("IN_FORCE"), 10, 64)
}

func (dm fakeDaemons) Announce(_ context.Context, address string, manifest []byte) (*peerpb.AnnounceReply, error) {
	if _, err := config.ParseManifest(manifest); err != nil {
		return nil, err
	}
	generation, err := dm.generation(address)
	return &peerpb.AnnounceReply{Generation: generation}, err
}

func (dm fakeDaemons) Status(_ context.Context, address string) (*peerpb.StatusReply, error) {
	generation, err := dm.generation(address)
	if err != nil {
		return nil, err
	}
	return &peerpb.StatusReply{
		Ready: true, KeysFresh: true, Generation: generation,
		Resources: []*peerpb.ResourceStatus{
			{Resource: "pool/north-a/desk", Kind: "slots", SlotsMilli: 8000, InFlightMilli: 3000},
			{Resource: "pool/north-a/reports", Kind: "slots", SlotsMilli: 1000, InFlightMilli: 2000},
			{Resource: "region/north", Kind: "slots", SlotsMilli: 20000, InFlightMilli: 5000},
		},
		Targets: []*peerpb.TargetStatus{
			{Target: "desk-1", Pool: "desk", State: "draining", InFlight: 3, Slots: 4},
			{Target: "desk-2", Pool: "desk", State: "usable", Slots: 4},
		},
	}, nil
}

func (dm fakeDaemons) Timeline(_ context.Context, address string, _ *peerpb.TimelineRequest) (*peerpb.TimelineReply, error) {
	_, err := dm.generation(address)
	return new(peerpb.TimelineReply), err
}

type serverKey struct{}

// Guards against unintended changes of the output and the exit codes, which operators' scripts depend on.
func TestScripts(t *testing.T) {
	examples, err := filepath.Abs("../../examples")
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Dir:           "testdata/script",
		UpdateScripts: *update,
		Setup: func(env *testscript.Env) error {
			sv, err := platform.Start(platform.Options{Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:0"})
			if err != nil {
				return err
			}
			env.Defer(sv.Close)
			env.Values[serverKey{}] = sv
			env.Setenv("DAMASKLATCH_STORE", sv.Address())
			env.Setenv("DAMASKLATCH_AUTHOR", "an")
			env.Setenv("EXAMPLES", examples)
			// A program with the race detector would otherwise sleep for a second before it exits.
			env.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"fault": setFault, "vm": addVM},
	})
}

// setFault implements the script command "fault [down] [lose_answers=N]", which sets the faults of the store.
func setFault(ts *testscript.TestScript, _ bool, args []string) {
	var fr platform.FaultRequest
	for _, word := range args {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "down":
			fr.Down = true
		case "lose_answers":
			nr, err := strconv.Atoi(value)
			ts.Check(err)
			fr.LoseAnswers, fr.Reset = nr, true
		default:
			ts.Fatalf("unknown fault %q", name)
		}
	}
	ts.Check(ts.Value(serverKey{}).(*platform.Server).SetFault(fr))
}

// addVM implements the script command "vm NAME PORT", which adds a VM to the platform's list.
func addVM(ts *testscript.TestScript, _ bool, args []string) {
	ts.Value(serverKey{}).(*platform.Server).Store().VMList().Set(store.VMRecord{
		VM: id.VM(args[0]), FailureDomain: "north-a", State: store.VMLive,
		PeerAddress: "127.0.0.1:" + args[1], CallerAddress: "127.0.0.1:" + args[1],
	})
}
