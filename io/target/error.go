package target

import (
	"errors"
	"fmt"
	"net/http"

	"damasklatch/core/id"
	"damasklatch/io/httpframe"
)

// ErrorKind classifies why a request got no response.
type ErrorKind string

// Kinds of errors.
const (
	NoTarget         ErrorKind = "no_target"    // no usable target has a free slot
	DialFailed       ErrorKind = "dial_failed"  // no connection could be established
	ResetBeforeWrite ErrorKind = "reset_before" // the connection broke before the first byte was written
	ResetAfterWrite  ErrorKind = "reset_after"  // the connection broke after the first byte may have been written
	TimedOut         ErrorKind = "timed_out"    // no response before the deadline
	FirstByteTimeout ErrorKind = "silent"       // no first response byte to an idempotent request within the time limit
	Refused          ErrorKind = "refused"      // the target reports that it has not run the request
	ForeignResponse  ErrorKind = "foreign"      // the response belongs to another request
	InvalidResponse  ErrorKind = "invalid"      // the target sent something else than an HTTP response
	Canceled         ErrorKind = "canceled"     // the caller disconnected, or its body ended early
	Withdrawn        ErrorKind = "withdrawn"    // the request was withdrawn before anything was sent
	TooLarge         ErrorKind = "too_large"    // the request body is larger than the route allows
)

// ErrTooLarge is the read error of a request body that is larger than allowed. Do then returns an Error of the kind
// TooLarge.
var ErrTooLarge = errors.New("body is larger than allowed")

// Error reports why a request got no response.
type Error struct {
	Kind   ErrorKind
	Target id.Target // target of the last attempt; empty if there was none
	// MayHaveRun reports whether a target may have run the request or may still run it.
	MayHaveRun bool
	Cause      error // may be nil
	// Foreign is the response to another request, without its body. It is nil unless the kind is ForeignResponse.
	Foreign *http.Response
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

// isInvalid reports whether an error means that the target sent something else than an HTTP response.
func isInvalid(err error) bool {
	_, ok := httpframe.ReasonOf(err)
	return ok
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Cause }
