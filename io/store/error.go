package store

import (
	"errors"
	"fmt"
)

// Kind classifies the errors of the store.
type Kind string

// Kinds of errors.
const (
	NotFound    Kind = "not_found"    // no such object
	Conflict    Kind = "conflict"     // the object has another version than expected
	TooLarge    Kind = "too_large"    // the value exceeds MaxObjectBytes
	RateLimited Kind = "rate_limited" // the store refused the call, it had no effect
	Unavailable Kind = "unavailable"  // the store answered that it is down or refused the connection; no effect
	Timeout     Kind = "timeout"      // a read got no answer
	Unknown     Kind = "unknown"      // a write got no answer and may have taken effect
	Invalid     Kind = "invalid"      // the answer could not be understood
)

// Error is the error of a store call.
type Error struct {
	Kind    Kind
	Op      string // "get", "put", "delete", "list", "watch", "vms"
	Key     string
	Version Version // with Conflict: the version that the object has
	Err     error   // cause, may be nil
}

func (er *Error) Error() string {
	if er.Err == nil {
		return fmt.Sprintf("store %s %q: %s", er.Op, er.Key, er.Kind)
	}
	return fmt.Sprintf("store %s %q: %s: %v", er.Op, er.Key, er.Kind, er.Err)
}

// Unwrap returns the cause.
func (er *Error) Unwrap() error { return er.Err }

// StoreReached reports whether the error proves that the store was reached: it answered or refused the connection.
func (er *Error) StoreReached() bool {
	switch er.Kind {
	case Timeout, Unknown, Invalid:
		return false
	default:
		return true
	}
}

// IsKind reports whether an error is an *Error of the kind.
func IsKind(err error, kind Kind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == kind
}

// StoreReached reports whether the result of a call proves that the store was reached. A nil error does.
func StoreReached(err error) bool {
	var er *Error
	return err == nil || errors.As(err, &er) && er.StoreReached()
}
