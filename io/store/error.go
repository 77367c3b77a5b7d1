package store

import (
	"errors"
	"fmt"
)

// Kind is the class of a store error.
type Kind string

// Kinds of errors.
const (
	NotFound    Kind = "not_found"    // no such object
	Conflict    Kind = "conflict"     // the object has another version than expected
	TooLarge    Kind = "too_large"    // the value exceeds MaxObjectBytes
	RateLimited Kind = "rate_limited" // the store refused the call because of its rate limit; it had no effect
	Unavailable Kind = "unavailable"  // the store responded that it is unavailable or refused the connection; no effect
	Timeout     Kind = "timeout"      // a read got no response
	Unknown     Kind = "unknown"      // a write got no usable response and may have taken effect
	Invalid     Kind = "invalid"      // the call or its response is malformed
)

// Error is the error type of store calls.
type Error struct {
	Kind    Kind
	Op      string // "get", "put", "delete", "list", "watch", "vms"
	Key     string
	Version Version // current version of the object if Kind is Conflict
	Err     error   // underlying error, may be nil
}

func (er *Error) Error() string {
	if er.Err == nil {
		return fmt.Sprintf("store %s %q: %s", er.Op, er.Key, er.Kind)
	}
	return fmt.Sprintf("store %s %q: %s: %v", er.Op, er.Key, er.Kind, er.Err)
}

// Unwrap returns the underlying error, which may be nil.
func (er *Error) Unwrap() error { return er.Err }

// StoreReached reports whether the error proves that the store was reached: the store responded or refused the
// connection.
func (er *Error) StoreReached() bool {
	switch er.Kind {
	case Timeout, Unknown, Invalid:
		return false
	default:
		return true
	}
}

// IsKind reports whether err is or wraps an *Error of the given kind.
func IsKind(err error, kind Kind) bool {
	var er *Error
	return errors.As(err, &er) && er.Kind == kind
}

// StoreReached reports whether the result of a call proves that the store was reached. A nil error does.
func StoreReached(err error) bool {
	var er *Error
	return err == nil || errors.As(err, &er) && er.StoreReached()
}
