package inbound

import (
	"bytes"
	"math"
	"strings"

	"github.com/pkg/errors"

	"damasklatch/io/httpframe"
)

// framer finds the end of a request in the bytes of a connection. It accepts only requests that have a single reading. The zero
// value is ready for the first request of a connection.
type framer struct {
	state     framerState
	remaining int64 // bytes of the body or of the chunk that have not been seen yet
	hasLength bool
	length    int64 // value of the field Content-Length
	chunked   bool
	// refused is why the request is ambiguous, or nil. The end of such a request is not known.
	refused error

	started    bool                 // the request line has been seen
	fields     int                  // number of lines of the header
	line       [maxPrefixBytes]byte // beginning of the current line
	lineLength int                  // bytes of the current line, without its end
	sawCR      bool                 // the last byte of the line was a carriage return
}

// framerState is the part of a request to which the next byte belongs.
type framerState uint8

const (
	inHeader framerState = iota
	inBody
	inChunkSize
	inChunk
	afterChunk
	inTrailer
	atEnd
	inUnknown // after something ambiguous
)

// maxPrefixBytes is the number of bytes of a line that are kept. It suffices for the fields that determine the framing.
const maxPrefixBytes = 128

// maxHeaderFields is the number of header fields above which the connection of a request is closed. Each field takes many times the
// memory of its bytes.
const maxHeaderFields = 500

var (
	errChunk      = errors.New("malformed chunked encoding")
	errManyFields = errors.New("too many header fields")
)

// next returns how many of the bytes belong to the current request. After something ambiguous, all bytes do.
func (fr *framer) next(src []byte) int {
	used := 0
	for used < len(src) && fr.state != atEnd {
		used += fr.step(src[used:])
	}
	return used
}

// step consumes bytes up to the end of the current line or part, and returns their number.
func (fr *framer) step(src []byte) int {
	switch fr.state {
	case inUnknown:
		return len(src)
	case inBody, inChunk:
		num := int(min(fr.remaining, int64(len(src))))
		fr.remaining -= int64(num)
		switch {
		case fr.remaining > 0:
		case fr.state == inBody:
			fr.state = atEnd
		default:
			fr.state = afterChunk
		}
		return num
	default:
		return fr.stepLine(src)
	}
}

// stepLine consumes bytes of a line and handles the line once it is complete.
func (fr *framer) stepLine(src []byte) int {
	num, complete, err := fr.readLine(src)
	if err == nil && complete {
		err = fr.endLine()
	}
	if err != nil {
		fr.refuse(err)
	}
	return num
}

// refuse gives up to find the end of the request.
func (fr *framer) refuse(err error) { fr.refused, fr.state = err, inUnknown }

// readLine consumes bytes up to the end of the line and keeps the beginning of the line.
func (fr *framer) readLine(src []byte) (num int, complete bool, err error) {
	end := bytes.IndexByte(src, '\n')
	complete = end >= 0
	text, num := src, len(src)
	if complete {
		text, num = src[:end], end+1
	}
	if fr.sawCR && len(text) > 0 {
		return num, false, errors.New("bare carriage return")
	}
	if at := bytes.IndexByte(text, '\r'); at >= 0 {
		if at < len(text)-1 {
			return num, false, errors.New("bare carriage return")
		}
		text, fr.sawCR = text[:at], true
	}
	if fr.lineLength < maxPrefixBytes {
		copy(fr.line[fr.lineLength:], text)
	}
	fr.lineLength += len(text)
	if complete && !fr.sawCR {
		return num, false, errors.New("line ends with a bare line feed")
	}
	return num, complete, nil
}

// endLine handles a complete line.
func (fr *framer) endLine() error {
	length := fr.lineLength
	line := fr.line[:min(length, maxPrefixBytes)]
	fr.lineLength, fr.sawCR = 0, false
	switch fr.state {
	case inHeader:
		return fr.endHeaderLine(line, length)
	case inChunkSize:
		return fr.endChunkSize(line)
	case afterChunk:
		if length > 0 {
			return errChunk
		}
		fr.state = inChunkSize
	case inTrailer:
		if length == 0 {
			fr.state = atEnd
		}
	default:
	}
	return nil
}

// endHeaderLine handles a line of the header, of which line is the beginning. Empty lines before the request line are skipped.
func (fr *framer) endHeaderLine(line []byte, length int) error {
	switch {
	case !fr.started:
		fr.started = length > 0
		return nil
	case length == 0:
		return fr.endHeader()
	case line[0] == ' ' || line[0] == '\t':
		return errors.New("folded header field")
	}
	if fr.fields++; fr.fields > maxHeaderFields {
		return errManyFields
	}
	name, val, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok && length <= maxPrefixBytes:
		return errors.New("header line without a colon")
	case !ok:
		return nil
	case len(name) == 0 || bytes.ContainsAny(name, " \t"):
		return errors.New("blank in the name of a header field")
	case strings.EqualFold(string(name), "Content-Length"):
		return fr.setLength(strings.Trim(string(val), " \t"), length)
	case strings.EqualFold(string(name), "Transfer-Encoding"):
		return fr.setEncoding(strings.Trim(string(val), " \t"), length)
	}
	return nil
}

func (fr *framer) setLength(val string, length int) error {
	if fr.hasLength {
		return errors.New("more than one Content-Length")
	}
	num, ok := httpframe.ParseNumber([]byte(val), 10, httpframe.MaxLengthDigits)
	if !ok || length > maxPrefixBytes {
		return errors.New("invalid Content-Length")
	}
	fr.hasLength, fr.length = true, num
	return nil
}

func (fr *framer) setEncoding(val string, length int) error {
	if fr.chunked || !strings.EqualFold(val, "chunked") || length > maxPrefixBytes {
		return errors.New("unusual Transfer-Encoding")
	}
	fr.chunked = true
	return nil
}

// endHeader starts the body of the request, if there is one.
func (fr *framer) endHeader() error {
	switch {
	case fr.chunked && fr.hasLength:
		return errors.New("both Transfer-Encoding and Content-Length")
	case fr.chunked:
		fr.state = inChunkSize
	case fr.length > 0:
		fr.state, fr.remaining = inBody, fr.length
	default:
		fr.state = atEnd
	}
	return nil
}

// endChunkSize handles the line before a chunk: a size in hexadecimal digits and an optional extension.
func (fr *framer) endChunkSize(line []byte) error {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	num, ok := httpframe.ParseNumber(digits, 16, httpframe.MaxChunkDigits)
	if !ok {
		return errChunk
	}
	fr.state, fr.remaining = inChunk, num
	if num == 0 {
		fr.state = inTrailer
	}
	return nil
}

// begun reports whether a byte of the request has been seen. Empty lines before it don't count.
func (fr *framer) begun() bool {
	return fr.state != inHeader || fr.started || fr.lineLength > 0 || fr.sawCR
}

// left returns how many of the next bytes certainly belong to the request. It reports false if that is not known.
func (fr *framer) left() (int64, bool) {
	return fr.remaining, fr.state == inBody || fr.state == inChunk
}

// wanted returns how many of the next most bytes are worth reading, so that few of them belong to the next request.
func (fr *framer) wanted(most int) int {
	left := int64(math.MaxInt64 - maxReadAhead)
	switch fr.state {
	case inBody:
		return int(min(int64(most), fr.remaining))
	case inUnknown:
	case inChunk:
		left = fr.remaining
	default:
		left = 0
	}
	return int(min(int64(most), left+maxReadAhead)) // headers, and the lines around chunks, have no known length
}
