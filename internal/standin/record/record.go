package record

import (
	"damasklatch/core/id"
)

// Kind is the type of event that a target's record describes.
type Kind string

// Kinds of target records.
const (
	KindWork   Kind = "work"   // a request arrived
	KindDrain  Kind = "drain"  // the target was told to drain
	KindActive Kind = "active" // the target was told to stop draining
	KindCrash  Kind = "crash"  // the target was told to crash
	KindReturn Kind = "return" // the target started again after a crash
)

// WorkOutcome is the way in which a request ended at a target.
type WorkOutcome string

// Outcomes at a target.
const (
	Ran      WorkOutcome = "ran"
	Canceled WorkOutcome = "cancelled" //nolint:misspell // the record format uses this spelling
	Refused  WorkOutcome = "refused"
)

// Work is a record of a target: a request or a change of the target's state. Times are Unix nanoseconds.
type Work struct {
	Kind          Kind             `json:"kind"`
	Target        id.Target        `json:"target"`
	Pool          id.Pool          `json:"pool"`
	FailureDomain id.FailureDomain `json:"failure_domain"`
	ArrivedAt     int64            `json:"arrived_at"`
	StartedAt     int64            `json:"started_at,omitempty"` // when it got a slot; zero if it got none
	EndedAt       int64            `json:"ended_at,omitempty"`
	RequestID     id.Request       `json:"request_id,omitempty"`
	Operation     string           `json:"operation,omitempty"` // ID chosen by the caller, the same for all tries
	Team          id.Team          `json:"team,omitempty"`
	Route         id.Route         `json:"route,omitempty"`
	Method        string           `json:"method,omitempty"`
	Idempotent    bool             `json:"idempotent"`
	Outcome       WorkOutcome      `json:"outcome,omitempty"`
	Reason        string           `json:"reason,omitempty"`
	BytesIn       int64            `json:"bytes_in,omitempty"`
	BytesOut      int64            `json:"bytes_out,omitempty"`
	KeySeen       bool             `json:"key_seen"` // the request contained what looks like a caller's key
	DrainingSince int64            `json:"draining_since,omitempty"`
	Truncated     bool             `json:"truncated,omitempty"`
}

// Started reports whether the request got a slot. Only then can it have had an effect.
func (wk *Work) Started() bool { return wk.StartedAt != 0 }

// Outcome is the way in which a try or an operation ended for the caller.
type Outcome string

// Outcomes of tries and operations.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Reasons that the caller itself gives. Other reasons come from the daemon.
const (
	ReasonDial       = "caller_dial_failed" // no connection to the entry VM; nothing was sent
	ReasonNoEntry    = "caller_no_entry"    // no lookup of entry VMs succeeded
	ReasonTimeout    = "caller_timeout"
	ReasonConnection = "caller_connection_lost"
	ReasonNoOutcome  = "caller_no_outcome" // the response has no Damasklatch-Outcome header
	ReasonOverload   = "caller_overload"   // too many operations in flight; nothing was sent
)

// Try is one request that a caller sent to one entry VM.
type Try struct {
	VM          id.VM            `json:"vm"`
	Domain      id.FailureDomain `json:"failure_domain,omitempty"`
	Address     string           `json:"address"`
	RequestID   id.Request       `json:"request_id,omitempty"`
	StartedAt   int64            `json:"started_at"`
	EndedAt     int64            `json:"ended_at"`
	Outcome     Outcome          `json:"outcome"`
	Status      int              `json:"status,omitempty"`
	Reason      string           `json:"reason,omitempty"`
	Duplicate   bool             `json:"duplicate,omitempty"`   // the request repeated a ticket that was sent before
	Incomplete  bool             `json:"incomplete,omitempty"`  // looked complete, but has a wrong length or checksum
	Interrupted bool             `json:"interrupted,omitempty"` // the connection was lost during the response
	Crossed     bool             `json:"crossed,omitempty"`     // the response belongs to another request
	Error       string           `json:"error,omitempty"`
}

// Operation is a record of a caller: one operation with all its tries. Times are Unix nanoseconds.
type Operation struct {
	Operation   string     `json:"operation"`
	Team        id.Team    `json:"team"`
	Route       id.Route   `json:"route"`
	Method      string     `json:"method"`
	Idempotent  bool       `json:"idempotent"`
	Transfer    bool       `json:"transfer"` // a long upload or download, which the latency figures exclude
	ScheduledAt int64      `json:"scheduled_at"`
	EndedAt     int64      `json:"ended_at"`
	Generation  uint64     `json:"generation,omitempty"` // configuration generation in the last lookup that was used
	Outcome     Outcome    `json:"outcome"`
	Status      int        `json:"status,omitempty"`
	Reason      string     `json:"reason,omitempty"`
	Target      id.Target  `json:"target,omitempty"`
	RequestID   id.Request `json:"request_id,omitempty"`
	ChecksumOK  bool       `json:"checksum_ok"`
	Tries       []Try      `json:"tries"`
}
