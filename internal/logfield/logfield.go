// Package logfield defines the keys of structured log fields, so that all log lines use the same key for the same
// quantity.
package logfield

// Keys of log fields.
const (
	VM            = "vm"
	Incarnation   = "incarnation"
	FailureDomain = "failure_domain"
	Region        = "region"
	Site          = "site"
	Team          = "team"
	Route         = "route"
	Pool          = "pool"
	Target        = "target"
	RequestID     = "request_id"
	OperationID   = "operation_id"
	Generation    = "generation"
	Resource      = "resource"
	Outcome       = "outcome"
	Reason        = "reason"
	Error         = "error"
	Address       = "address"
	Peer          = "peer"
	Duration      = "duration_ms"
)
