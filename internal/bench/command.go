package bench

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the subcommands. After parsing, at most one is not nil.
type arguments struct {
	Lookup  *lookupCommand  `arg:"subcommand:lookup" help:"look-ups a second for each core over HTTP"`
	Latency *latencyCommand `arg:"subcommand:latency" help:"latency that one entry VM adds to a direct call"`
	Steer   *steerCommand   `arg:"subcommand:steer" help:"time and allocations of a steering decision"`
	Control *controlCommand `arg:"subcommand:control" help:"CPU, memory and traffic of daemons without callers"`
	Build   *buildCommand   `arg:"subcommand:build" help:"building and applying a configuration"`
	Page    *pageCommand    `arg:"subcommand:page" help:"write the page of measurements from result files"`
	Callers *callersCommand `arg:"subcommand:callers" help:"load of the lookup measurement, in a process of its own"`
}

// Description returns the introduction of the --help output.
func (arguments) Description() string {
	return "Measures damasklatch on the loopback interface and compares the results with earlier ones."
}

// measurement is a subcommand that measures something and returns a result.
type measurement interface {
	options() *measureOptions
	measure(ctx context.Context) (*Result, error)
}

// measureOptions holds the options that all measurements share.
type measureOptions struct {
	Repeat   int    `arg:"--repeat" default:"5" help:"number of repeats"`
	Out      string `arg:"--out" help:"file of the result as JSON"`
	Baseline string `arg:"--baseline" help:"earlier result file to compare with"`
	Plots    string `arg:"--plots" help:"directory of plots"`
}

func (mo *measureOptions) options() *measureOptions { return mo }

// measurement returns the selected measurement, or nil if the subcommand is not a measurement.
func (ar *arguments) measurement() measurement {
	switch {
	case ar.Lookup != nil:
		return ar.Lookup
	case ar.Latency != nil:
		return ar.Latency
	case ar.Steer != nil:
		return ar.Steer
	case ar.Control != nil:
		return ar.Control
	case ar.Build != nil:
		return ar.Build
	}
	return nil
}

// Run parses and runs a command line and returns the exit code. It writes results to out and errors to diag.
func Run(ctx context.Context, args []string, out, diag io.Writer) int {
	ar := new(arguments)
	ps, err := arg.NewParser(arg.Config{Program: "damasklatch-bench"}, ar)
	if err != nil {
		fmt.Fprintln(diag, "error:", err)
		return exitFailed
	}
	switch err := ps.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		if err := ps.WriteHelpForSubcommand(out, ps.SubcommandNames()...); err != nil {
			return exitFailed
		}
		return exitOK
	case err != nil:
		fmt.Fprintln(diag, "error:", err)
		return exitUsage
	}
	switch ms := ar.measurement(); {
	case ms != nil:
		err = runMeasurement(ctx, ms, "damasklatch-bench "+strings.Join(args, " "), out)
	case ar.Page != nil:
		err = ar.Page.run()
	case ar.Callers != nil:
		err = ar.Callers.run(ctx, out)
	default:
		ps.WriteUsage(diag)
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(diag, "error:", err)
		return exitFailed
	}
	return exitOK
}

// runMeasurement runs a measurement, prints its table and writes the files that the options name.
func runMeasurement(ctx context.Context, ms measurement, command string, out io.Writer) error {
	op := ms.options()
	if op.Repeat < 1 {
		return errors.Errorf("--repeat %d: the number of repeats must be at least 1", op.Repeat)
	}
	var base *Result
	if op.Baseline != "" {
		var err error
		if base, err = ReadResult(op.Baseline); err != nil {
			return err
		}
	}
	env := newEnvironment()
	rs, err := ms.measure(ctx)
	if err != nil {
		return err
	}
	rs.Command, rs.Repeats, rs.Environment = command, op.Repeat, env
	rs.summarize()
	rs.WriteTable(out, base)
	if op.Plots != "" {
		if err := writePlots(op.Plots, rs); err != nil {
			return err
		}
	}
	if op.Out == "" {
		return nil
	}
	return rs.WriteFile(op.Out)
}
