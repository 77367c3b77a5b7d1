package configchange

import (
	"fmt"

	"damasklatch/core/config"
	"damasklatch/core/id"
)

// ConflictError reports that another change was accepted first. The operation did not take effect and never will.
type ConflictError struct {
	OperationID   id.Operation
	Base          id.Generation         // generation that the operation was based on
	Current       id.Generation         // generation now accepted
	AcceptedFirst []config.HistoryEntry // changes accepted since Base that the history still lists, oldest first
	// TheirChanges is what the changes accepted first changed, OurChanges is what the operation would have changed.
	// Both are empty and DiffErr is set if the contents could not be read.
	TheirChanges, OurChanges []config.Difference
	DiffErr                  error
}

func (er *ConflictError) Error() string {
	if len(er.AcceptedFirst) == 0 {
		return fmt.Sprintf("operation %s lost: it is based on generation %d, the configuration is at generation %d",
			er.OperationID, er.Base, er.Current)
	}
	first := er.AcceptedFirst[0]
	return fmt.Sprintf("operation %s lost: %s accepted generation %d first (operation %s); the configuration is at generation %d",
		er.OperationID, first.Author, first.Generation, first.OperationID, er.Current)
}

// UnknownError reports that it is not known whether an operation took effect or will take effect.
type UnknownError struct {
	OperationID id.Operation
	Err         error
}

func (er *UnknownError) Error() string {
	return fmt.Sprintf("outcome of operation %s is unknown: %v", er.OperationID, er.Err)
}

// Unwrap returns the underlying error.
func (er *UnknownError) Unwrap() error { return er.Err }

// UnreachableError reports that the store could not be used before the context ended. Nothing took effect.
type UnreachableError struct {
	Action string // what was attempted, such as "list proposals"
	Err    error
}

func (er *UnreachableError) Error() string {
	return fmt.Sprintf("%s: store unreachable: %v", er.Action, er.Err)
}

// Unwrap returns the underlying error.
func (er *UnreachableError) Unwrap() error { return er.Err }

// InputError reports a request that cannot be carried out as given, for example because of an invalid operation id.
type InputError struct{ Message string }

func (er *InputError) Error() string { return er.Message }

func inputErrorf(format string, args ...any) error { return &InputError{fmt.Sprintf(format, args...)} }
