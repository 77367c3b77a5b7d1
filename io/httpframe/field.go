package httpframe

import "bytes"

// field is a header or trailer field. The value has no blanks around it.
type field struct{ name, value []byte }

// parseField parses a line of a header or a trailer, without its end.
func parseField(line []byte) (field, *Error) {
	if line[0] == ' ' || line[0] == '\t' {
		return field{}, &Error{FoldedField}
	}
	name, val, ok := bytes.Cut(line, []byte(":"))
	if !ok || !isToken(name) {
		return field{}, &Error{FieldName}
	}
	val = bytes.Trim(val, " \t")
	if !isText(val) {
		return field{}, &Error{FieldValue}
	}
	return field{name, val}, nil
}

// ValidName reports whether the text is a field name.
func ValidName(text string) bool { return isToken([]byte(text)) }

// ValidValue reports whether the text is a field value.
func ValidValue(text string) bool { return isText([]byte(text)) }

// isToken reports whether the text is a token of RFC 9110, section 5.6.2.
func isToken(text []byte) bool {
	for _, char := range text {
		if !tokenChars[char] {
			return false
		}
	}
	return len(text) > 0
}

var tokenChars = newTokenChars()

func newTokenChars() (chars [256]bool) {
	for _, char := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		chars[char] = true
	}
	return chars
}

// isText reports whether the text has only characters that a field value or a reason phrase may have.
func isText(text []byte) bool {
	const del = 0x7f
	for _, char := range text {
		if char < ' ' && char != '\t' || char == del {
			return false
		}
	}
	return true
}
