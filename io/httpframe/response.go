package httpframe

import (
	"bytes"
	"net/http"
)

// maxLineBytes is the length up to which a line may grow. It is the limit of the header of a target's response.
const maxLineBytes = 64 << 10

// ResponseChecker reads the responses of a connection and finds the first byte that can't be part of a valid one. The zero value is
// ready for the first response.
type ResponseChecker struct {
	state     checkerState
	toHead    bool   // the response is to a HEAD request
	line      []byte // beginning of the current line, of which the end has not been seen yet
	remaining int64  // bytes of the body or of the chunk that have not been seen yet

	// Of the current response:
	status    int
	minor     byte // digit of the minor version
	hasLength bool
	length    int64 // value of the field Content-Length
	chunked   bool
}

// checkerState is the part of a response to which the next byte belongs.
type checkerState uint8

const (
	atStatusLine checkerState = iota
	inHeader
	inBody
	inUnlimitedBody // the body ends with the connection
	atChunkSize
	inChunk
	afterChunk
	inTrailer
)

// SetHead sets whether the responses are to HEAD requests, which have no body.
func (rc *ResponseChecker) SetHead(head bool) { rc.toHead = head }

// EndsWithConnection reports whether the body of the current response has no length, so that it lasts until the end of the connection.
func (rc *ResponseChecker) EndsWithConnection() bool { return rc.state == inUnlimitedBody }

// Next reads the next bytes of the connection. It returns how many of them precede the line in which the first error is. After an
// error, Next must not be called again.
func (rc *ResponseChecker) Next(src []byte) (int, *Error) {
	used := 0
	for used < len(src) {
		num, err := rc.step(src[used:])
		if err != nil {
			return used, err
		}
		used += num
	}
	return used, nil
}

// step reads bytes up to the end of the current line or part, and returns their number.
func (rc *ResponseChecker) step(src []byte) (int, *Error) {
	switch rc.state {
	case inUnlimitedBody:
		return len(src), nil
	case inBody, inChunk:
		num := min(rc.remaining, int64(len(src)))
		rc.remaining -= num
		if rc.remaining == 0 {
			rc.endPart()
		}
		return int(num), nil
	default:
		return rc.stepLine(src)
	}
}

// endPart is called at the end of the body or of a chunk.
func (rc *ResponseChecker) endPart() {
	if rc.state == inChunk {
		rc.state = afterChunk
		return
	}
	rc.endResponse()
}

// endResponse prepares for the next response.
func (rc *ResponseChecker) endResponse() {
	*rc = ResponseChecker{toHead: rc.toHead, line: rc.line[:0]}
}

// stepLine reads bytes up to the end of the line and checks the line if it is complete.
func (rc *ResponseChecker) stepLine(src []byte) (int, *Error) {
	end := bytes.IndexByte(src, '\n')
	if len(rc.line)+max(end, 0) > maxLineBytes || end < 0 && len(rc.line)+len(src) > maxLineBytes {
		return 0, &Error{LineLength}
	}
	if end < 0 {
		rc.line = append(rc.line, src...)
		return len(src), nil
	}
	line := src[:end]
	if len(rc.line) > 0 {
		rc.line = append(rc.line, line...)
		line, rc.line = rc.line, rc.line[:0]
	}
	line, ok := bytes.CutSuffix(line, []byte("\r"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return 0, &Error{LineEnd}
	}
	return end + 1, rc.checkLine(line)
}

func (rc *ResponseChecker) checkLine(line []byte) *Error {
	switch rc.state {
	case atStatusLine:
		return rc.checkStatusLine(line)
	case inHeader:
		return rc.checkHeaderLine(line)
	case atChunkSize:
		return rc.checkChunkSize(line)
	case afterChunk:
		if len(line) > 0 {
			return &Error{Chunk}
		}
		rc.state = atChunkSize
		return nil
	default:
		return rc.checkTrailerLine(line)
	}
}

const (
	versionPrefix = "HTTP/1."
	statusAt      = len(versionPrefix) + 2 // position of the status, after the digit of the version and a blank
	phraseAt      = statusAt + 3           // position of the blank before the reason phrase
	minStatus     = 100
	maxStatus     = 599
)

func (rc *ResponseChecker) checkStatusLine(line []byte) *Error {
	if len(line) < phraseAt || !bytes.HasPrefix(line, []byte(versionPrefix)) || line[statusAt-1] != ' ' || line[statusAt] == ' ' {
		return &Error{StatusLine}
	}
	version, ok := ParseNumber(line[len(versionPrefix):statusAt-1], 10, 1)
	if !ok || !isText(line[phraseAt:]) {
		return &Error{StatusLine}
	}
	status, ok := ParseNumber(line[statusAt:phraseAt], 10, phraseAt-statusAt)
	if !ok || status < minStatus || status > maxStatus || len(line) > phraseAt && line[phraseAt] != ' ' {
		return &Error{StatusCode}
	}
	rc.minor, rc.status, rc.state = byte(version), int(status), inHeader
	return nil
}

func (rc *ResponseChecker) checkHeaderLine(line []byte) *Error {
	if len(line) == 0 {
		return rc.endHeader()
	}
	fd, err := parseField(line)
	switch {
	case err != nil:
		return err
	case bytes.EqualFold(fd.name, []byte("Content-Length")):
		length, ok := ParseNumber(fd.value, 10, MaxLengthDigits)
		if !ok || rc.hasLength {
			return &Error{Framing}
		}
		rc.hasLength, rc.length = true, length
	case bytes.EqualFold(fd.name, []byte("Transfer-Encoding")):
		if rc.chunked || !bytes.EqualFold(fd.value, []byte("chunked")) {
			return &Error{Framing}
		}
		rc.chunked = true
	}
	return nil
}

// endHeader determines where the body ends, by the rules of RFC 9112, section 6.3.
func (rc *ResponseChecker) endHeader() *Error {
	if rc.chunked && (rc.hasLength || rc.minor == 0) {
		return &Error{Framing}
	}
	interim := rc.status < http.StatusOK
	switch {
	case rc.status == http.StatusSwitchingProtocols:
		rc.state = inUnlimitedBody
	case interim || rc.toHead || rc.status == http.StatusNoContent || rc.status == http.StatusNotModified:
		rc.endResponse()
	case rc.chunked:
		rc.state = atChunkSize
	case !rc.hasLength:
		rc.state = inUnlimitedBody
	case rc.length == 0:
		rc.endResponse()
	default:
		rc.state, rc.remaining = inBody, rc.length
	}
	return nil
}

// checkChunkSize checks the line before a chunk: the size in hexadecimal digits, and an extension, which has no meaning here.
func (rc *ResponseChecker) checkChunkSize(line []byte) *Error {
	digits, extension, ok := bytes.Cut(line, []byte(";"))
	if ok {
		digits = bytes.TrimRight(digits, " \t")
	}
	size, ok := ParseNumber(digits, 16, MaxChunkDigits)
	if !ok || !isText(extension) {
		return &Error{Chunk}
	}
	rc.state, rc.remaining = inChunk, size
	if size == 0 {
		rc.state = inTrailer
	}
	return nil
}

func (rc *ResponseChecker) checkTrailerLine(line []byte) *Error {
	if len(line) == 0 {
		rc.endResponse()
		return nil
	}
	_, err := parseField(line)
	return err
}
