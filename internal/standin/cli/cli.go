package cli

import (
	"context"
	"fmt"
	"io"
	"log/slog"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"
)

// Exit statuses of Run.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// arguments holds the parsed command line. At most one subcommand is set.
type arguments struct {
	Platform *platformCommand `arg:"subcommand:platform" help:"serve the platform store and the list of VMs"`
	Targets  *targetsCommand  `arg:"subcommand:targets" help:"serve the targets of a failure domain"`
	Callers  *callersCommand  `arg:"subcommand:callers" help:"run callers"`
	Report   *reportCommand   `arg:"subcommand:report" help:"judge a run from the records of callers and targets"`
}

// Description returns the first paragraph of the output of --help.
func (arguments) Description() string {
	return "Stand-ins for the platform, targets and callers of damasklatch, for tests and demonstrations on one machine."
}

// command is a subcommand. Its run method writes results to out and returns when it is done or ctx ends.
type command interface {
	run(ctx context.Context, out io.Writer, log *slog.Logger) error
}

// selected returns the subcommand on the command line, or nil if there is none.
func (ar *arguments) selected() command {
	switch {
	case ar.Platform != nil:
		return ar.Platform
	case ar.Targets != nil:
		return ar.Targets
	case ar.Callers != nil:
		return ar.Callers
	case ar.Report != nil:
		return ar.Report
	}
	return nil
}

// Run runs one command line and returns its exit status: 0 for success, 1 if the command fails, and 2 if the command
// line is invalid. It returns when the command is done or ctx ends. Results are written to out, logs and errors to
// diag.
func Run(ctx context.Context, args []string, out, diag io.Writer) int {
	ar := new(arguments)
	ps, err := arg.NewParser(arg.Config{Program: "damasklatch-standin"}, ar)
	if err != nil {
		fmt.Fprintln(diag, "error:", err)
		return exitFailed
	}
	err = ps.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		if err := ps.WriteHelpForSubcommand(out, ps.SubcommandNames()...); err != nil {
			fmt.Fprintln(diag, "error:", err)
			return exitFailed
		}
		return exitOK
	case err == nil && ar.selected() == nil:
		err = errors.New("a subcommand is missing; --help lists them")
	}
	if err != nil {
		fmt.Fprintln(diag, "error:", err)
		return exitUsage
	}
	log := slog.New(slog.NewJSONHandler(diag, nil))
	if err := ar.selected().run(ctx, out, log); err != nil {
		fmt.Fprintln(diag, "error:", err)
		return exitFailed
	}
	return exitOK
}
