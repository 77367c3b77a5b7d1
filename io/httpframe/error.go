package httpframe

import (
	"errors"
	"fmt"
)

// Reason tells why bytes are not part of a valid response. Metrics have it as a tag.
type Reason string

// Reasons of an Error.
const (
	StatusLine  Reason = "status_line"  // the first line is not a status line
	StatusCode  Reason = "status_code"  // the status is not a number from 100 to 599
	FieldName   Reason = "field_name"   // a field has no name, or one that is not a token
	FieldValue  Reason = "field_value"  // a value has a control character
	FoldedField Reason = "folded_field" // a field continues on a second line
	LineEnd     Reason = "line_end"     // a line feed or a carriage return stands alone
	LineLength  Reason = "line_length"  // a line is longer than maxLineBytes
	Framing     Reason = "framing"      // the length of the body is invalid, or there is more than one statement of it
	Chunk       Reason = "chunk"        // the chunked encoding is malformed
	CutOff      Reason = "cut_off"      // the connection was reset within a body without a length
)

// Reasons lists every Reason.
var Reasons = []Reason{StatusLine, StatusCode, FieldName, FieldValue, FoldedField, LineEnd, LineLength, Framing, Chunk, CutOff}

// Error reports that a server has sent something else than a valid response.
type Error struct{ Reason Reason }

// Error implements error.
func (er *Error) Error() string { return fmt.Sprintf("invalid HTTP response: %s", er.Reason) }

// ReasonOf returns the reason of the Error in the chain of an error, and false if there is none.
func ReasonOf(err error) (Reason, bool) {
	var er *Error
	if !errors.As(err, &er) {
		return "", false
	}
	return er.Reason, true
}
