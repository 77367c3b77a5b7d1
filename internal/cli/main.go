package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"damasklatch/io/gateway"
	"damasklatch/io/store"

	"github.com/alexflint/go-arg"
)

// Arguments holds the commands of the program. go-arg sets the one that was given.
type Arguments struct {
	Entry    *Entry          `arg:"subcommand:entry" help:"run the daemon of an entry VM"`
	Gateway  *Gateway        `arg:"subcommand:gateway" help:"run the daemon for targets that register themselves on a platform"`
	Config   *ConfigCommands `arg:"subcommand:config" help:"check, compare, propose and accept the configuration"`
	Key      *KeyCommands    `arg:"subcommand:key" help:"issue, withdraw and list keys of teams"`
	Drain    *Drain          `arg:"subcommand:drain" help:"mark a target, site, failure domain or region as drained in the files of a directory"`
	Explain  *Explain        `arg:"subcommand:explain" help:"show what the logs of gateways say of a request"`
	Losses   *Losses         `arg:"subcommand:losses" help:"count in the logs of gateways why requests got no response in time"`
	Status   *Status         `arg:"subcommand:status" help:"show the entry VMs, their shares and free slots"`
	Timeline *Timeline       `arg:"subcommand:timeline" help:"show the events of all entry VMs in causal order"`
}

// Description returns the text at the head of the help. It implements an interface of go-arg.
func (*Arguments) Description() string {
	return "damasklatch steers traffic between regions. This program is the daemon of an entry VM and the operator's command."
}

// Command is a command that can be run.
type Command interface {
	// Run performs the command. The error determines the exit code.
	Run(ctx context.Context, ev *Env) error
	// Examples returns the example command lines that the help shows.
	Examples() []string
}

// Env holds the files, functions and clients that commands use. Tests replace them.
type Env struct {
	Stdin  io.Reader
	Stdout io.Writer
	Stderr io.Writer
	Color  bool // standard output is a terminal that shows colors
	Now    func() time.Time
	Random io.Reader
	// OpenStore returns a client of the platform store at an address. The timeout applies to each call.
	OpenStore func(address string, timeout time.Duration) (store.Store, error)
	// OpenOperator returns a client of the daemons that presents the operator's secret. If it is nil, commands do not
	// call daemons.
	OpenOperator func(secret string) OperatorClient
	// Adapter implements the protocols of a platform. If it is nil, the gateway command fails.
	Adapter gateway.Adapter
}

// Main parses the arguments, without the program's name, runs the command and returns the exit code.
func Main(ctx context.Context, ev *Env, arguments []string) int {
	var args Arguments
	ps, err := arg.NewParser(arg.Config{Program: "damasklatch", Out: ev.Stderr}, &args)
	if err != nil {
		fmt.Fprintln(ev.Stderr, "error:", err)
		return ExitFailed
	}
	if err := ps.Parse(arguments); err != nil {
		return usage(ev, ps, err)
	}
	cmd, ok := ps.Subcommand().(Command)
	if !ok {
		return usage(ev, ps, errors.New("a command is needed"))
	}
	out, ok := cmd.(interface{ format() (format, error) })
	if !ok {
		return report(ev, formatTable, cmd.Run(ctx, ev))
	}
	ft, err := out.format()
	if err != nil {
		return usage(ev, ps, err)
	}
	return report(ev, ft, cmd.Run(ctx, ev))
}

// usage prints the help if it was requested. For invalid arguments it prints the usage and the error instead.
func usage(ev *Env, ps *arg.Parser, err error) int {
	names := ps.SubcommandNames()
	if errors.Is(err, arg.ErrHelp) {
		// The call can't fail, because the subcommand names come from the parser itself.
		_ = ps.WriteHelpForSubcommand(ev.Stdout, names...)
		if cmd, ok := ps.Subcommand().(Command); ok {
			fmt.Fprintln(ev.Stdout, "\nExamples:")
			for _, ex := range cmd.Examples() {
				fmt.Fprintln(ev.Stdout, "  "+ex)
			}
		}
		fmt.Fprint(ev.Stdout, exitCodesHelp)
		return ExitOK
	}
	_ = ps.WriteUsageForSubcommand(ev.Stderr, names...)
	fmt.Fprintln(ev.Stderr, "error:", err)
	return ExitInput
}
