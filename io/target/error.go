package target

import (
	"errors"
	"fmt"

	"damasklatch/core/id"
)

// ErrorKind classifies a failure.
type ErrorKind string

// Kinds of failures.
const (
	NoTarget         ErrorKind = "no_target"    // no usable target has a free slot
	DialFailed       ErrorKind = "dial_failed"  // no connection
	ResetBeforeWrite ErrorKind = "reset_before" // the connection broke before the first byte was written
	ResetAfterWrite  ErrorKind = "reset_after"  // the connection broke after the first byte may have been written
	TimedOut         ErrorKind = "timed_out"    // no response before the deadline
	FirstByteTimeout ErrorKind = "silent"       // no first byte within the bound for idempotent work
	Refused          ErrorKind = "refused"      // the target says that it has not run the request
	Canceled         ErrorKind = "canceled"     // the caller went away, or its body broke off
	TooLarge         ErrorKind = "too_large"    // the caller's body is larger than allowed
)

// ErrTooLarge is returned by a body that is larger than allowed, and gives the kind TooLarge.
var ErrTooLarge = errors.New("body is larger than allowed")

// Error is a request without a response.
type Error struct {
	Kind   ErrorKind
	Target id.Target // of the last attempt, may be empty
	// MayHaveRun tells that some target may have run the request or may still run it.
	MayHaveRun bool
	Cause      error // may be nil
}

func (er *Error) Error() string {
	msg := string(er.Kind)
	if er.Target != "" {
		msg += " at " + string(er.Target)
	}
	if er.Cause != nil {
		msg = fmt.Sprintf("%s: %v", msg, er.Cause)
	}
	return msg
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Cause }
