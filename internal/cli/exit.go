package cli

import (
	"errors"
	"fmt"

	"damasklatch/core/config"
	"damasklatch/io/configchange"
	"damasklatch/io/store"
)

// Exit codes of the program. exitCodesHelp describes them.
const (
	ExitOK       = 0
	ExitFailed   = 1
	ExitInput    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

const exitCodesHelp = `
Exit codes:
  0  success
  1  failed
  2  bad input or settings
  3  another change was accepted first
  4  outcome unknown, or the platform store cannot be reached
`

// InputError reports invalid arguments or files. The exit code is ExitInput.
type InputError struct{ Message string }

func (er *InputError) Error() string { return er.Message }

func inputErrorf(format string, args ...any) error { return &InputError{fmt.Sprintf(format, args...)} }

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var faults config.Errors
	var input *InputError
	var refused *configchange.InputError
	var lost *configchange.ConflictError
	var unknown *configchange.UnknownError
	var unreachable *configchange.UnreachableError
	var call *store.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &faults), errors.As(err, &input), errors.As(err, &refused):
		return ExitInput
	case errors.As(err, &lost):
		return ExitConflict
	case errors.As(err, &unknown), errors.As(err, &unreachable):
		return ExitUnknown
	case errors.As(err, &call) && call.Kind != store.Invalid && call.Kind != store.TooLarge:
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// errorReport is the JSON form of an error.
type errorReport struct {
	Error    string          `json:"error"`
	ExitCode int             `json:"exit_code"`
	Faults   config.Errors   `json:"faults,omitempty"`
	Lost     *conflictReport `json:"lost,omitempty"`
}

type conflictReport struct {
	Base    uint64                `json:"base_generation"`
	Current uint64                `json:"generation"`
	Winners []config.HistoryEntry `json:"winners"`
	Theirs  []config.Difference   `json:"their_changes"`
	Ours    []config.Difference   `json:"your_changes"`
}

// report prints an error in the output format and returns the exit code. A nil error prints nothing.
func report(ev *Env, ft format, err error) int {
	code := exitCode(err)
	if err == nil {
		return code
	}
	var faults config.Errors
	var lost *configchange.ConflictError
	isLost := errors.As(err, &lost)
	errors.As(err, &faults)
	if ft == formatJSON {
		fl := errorReport{Error: err.Error(), ExitCode: code, Faults: faults}
		if isLost {
			fl.Lost = &conflictReport{uint64(lost.Base), uint64(lost.Current), lost.AcceptedFirst, lost.TheirChanges, lost.OurChanges}
		}
		writeJSON(ev.Stdout, fl)
		return code
	}
	switch {
	case len(faults) > 0:
		fmt.Fprintln(ev.Stderr, err)
		fmt.Fprintf(ev.Stderr, "error: the configuration has %s\n", countNoun(len(faults), "fault"))
	default:
		fmt.Fprintln(ev.Stderr, "error:", err)
	}
	if isLost {
		writeConflict(ev, lost)
	}
	return code
}

func writeConflict(ev *Env, lost *configchange.ConflictError) {
	fmt.Fprintln(ev.Stderr, "\naccepted instead:")
	for _, he := range lost.AcceptedFirst {
		fmt.Fprintf(ev.Stderr, "  generation %d by %s (operation %s)\n", he.Generation, he.Author, he.OperationID)
	}
	if lost.DiffErr != nil {
		fmt.Fprintf(ev.Stderr, "the differences cannot be shown: %v\n", lost.DiffErr)
		return
	}
	fmt.Fprintln(ev.Stderr, "what that changed:")
	for _, df := range lost.TheirChanges {
		fmt.Fprintln(ev.Stderr, "  "+df.String())
	}
	fmt.Fprintln(ev.Stderr, "what your proposal would have changed:")
	for _, df := range lost.OurChanges {
		fmt.Fprintln(ev.Stderr, "  "+df.String())
	}
	fmt.Fprintln(ev.Stderr, "Bring your files up to date, then propose again.")
}

// countNoun returns a number with its noun, which gets a plural s unless the number is 1.
func countNoun(nr int, noun string) string {
	if nr == 1 {
		return "1 " + noun
	}
	return fmt.Sprintf("%d %ss", nr, noun)
}
