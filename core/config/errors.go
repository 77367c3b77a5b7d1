package config

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Error is an error in a file. Line and Column count from 1. If they are zero, the error concerns the whole file.
type Error struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Message string `json:"error"`
}

// Error returns "file:line:column: message", or "file: message" if the error concerns the whole file.
func (er *Error) Error() string {
	if er.Line == 0 {
		return er.File + ": " + er.Message
	}
	return fmt.Sprintf("%s:%d:%d: %s", er.File, er.Line, er.Column, er.Message)
}

// Errors is a list of errors, sorted by file, line and column.
type Errors []*Error

// Error returns one line for each error in the list.
func (es Errors) Error() string {
	lines := make([]string, 0, len(es))
	for _, er := range es {
		lines = append(lines, er.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors in the list, for errors.Is and errors.As.
func (es Errors) Unwrap() []error {
	errs := make([]error, 0, len(es))
	for _, er := range es {
		errs = append(errs, er)
	}
	return errs
}

// position is a location in a file. A line of zero means the whole file.
type position struct {
	file         string
	line, column int
}

func (ps position) String() string { return fmt.Sprintf("%s:%d:%d", ps.file, ps.line, ps.column) }

// errorCollector collects the errors of one or more files.
type errorCollector struct{ errs Errors }

// addf adds an error at a position, with a formatted message.
func (cl *errorCollector) addf(at position, format string, args ...any) {
	cl.errs = append(cl.errs, &Error{
		File: at.file, Line: at.line, Column: at.column, Message: fmt.Sprintf(format, args...),
	})
}

// addErrors adds the errors in err, which must be nil or of type Errors.
func (cl *errorCollector) addErrors(err error) {
	var es Errors
	if errors.As(err, &es) {
		cl.errs = append(cl.errs, es...)
	}
}

// err returns the collected errors, sorted and without duplicates, as a value of type Errors. It returns nil if there are
// none.
func (cl *errorCollector) err() error {
	if len(cl.errs) == 0 {
		return nil
	}
	slices.SortStableFunc(cl.errs, func(ea, eb *Error) int {
		return cmp.Or(cmp.Compare(ea.File, eb.File), cmp.Compare(ea.Line, eb.Line), cmp.Compare(ea.Column, eb.Column))
	})
	cl.errs = slices.CompactFunc(cl.errs, func(ea, eb *Error) bool { return *ea == *eb })
	return cl.errs
}
