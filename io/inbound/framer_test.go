package inbound

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

const (
	plainGet  = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
	plainPost = "POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"
	chunkHead = "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
)

// feed passes a stream to framers, one for each request, in pieces of the given size. It returns the offsets at which requests end,
// and why the last one was refused.
func feed(src string, piece int) (ends []int, refused error) {
	fr := framer{}
	for at := 0; at < len(src); {
		at += fr.next([]byte(src[at:min(at+piece, len(src))]))
		if fr.refused != nil {
			return ends, fr.refused
		}
		if fr.state == atEnd {
			ends = append(ends, at)
			fr = framer{}
		}
	}
	return ends, nil
}

// Guards against a wrong end of a request, for every way in which the bytes may be cut into reads: a part of its body would be served
// as a request of its own.
func TestFramerEnds(t *testing.T) {
	for name, requests := range map[string][]string{
		"no body":            {plainGet, plainGet},
		"length":             {plainPost, plainGet, plainPost},
		"length of zero":     {"POST / HTTP/1.1\r\nContent-Length: 0\r\n\r\n", plainGet},
		"chunks":             {chunkHead + "5\r\nhello\r\n0\r\n\r\n", plainGet},
		"extension, trailer": {chunkHead + "A;x=\"1\"\r\n0123456789\r\n00\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n", plainPost},
		"only an end":        {chunkHead + "0\r\n\r\n", plainPost},
		"empty lines before": {plainPost, "\r\n\r\n" + plainGet},
		"long field":         {"GET / HTTP/1.1\r\nX-Long: " + strings.Repeat("ab: ", 9000) + "\r\nContent-Length: 3\r\n\r\nabc", plainGet},
		"long name":          {"GET / HTTP/1.1\r\nX" + strings.Repeat("-y", 200) + ": 1\r\n\r\n", plainGet},
	} {
		t.Run(name, func(t *testing.T) {
			src, want := "", []int(nil)
			for _, r := range requests {
				src += r
				want = append(want, len(src))
			}
			for piece := 1; piece <= min(len(src), 300); piece++ {
				got, refused := feed(src, piece)
				if refused != nil || !slices.Equal(got, want) {
					t.Fatalf("pieces of %d bytes: requests end at %v, refused: %v; want %v", piece, got, refused, want)
				}
			}
		})
	}
}

// Guards against requests that have two readings: another implementation finds a second request in them.
func TestFramerRefuses(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: x\r\n"
	for name, src := range map[string]string{
		"both lengths":            post + "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n",
		"both lengths, reversed":  post + "transfer-encoding:chunked\r\ncontent-length:5\r\n\r\n",
		"two lengths":             post + "Content-Length: 5\r\nContent-Length: 6\r\n\r\n",
		"the same length twice":   post + "Content-Length: 5\r\nContent-Length: 5\r\n\r\n",
		"list of lengths":         post + "Content-Length: 5, 5\r\n\r\n",
		"signed length":           post + "Content-Length: +5\r\n\r\n",
		"hexadecimal length":      post + "Content-Length: 0x5\r\n\r\n",
		"control byte as length":  post + "Content-Length: \x15\r\n\r\n",
		"empty length":            post + "Content-Length:\r\n\r\n",
		"huge length":             post + "Content-Length: 9999999999999999999\r\n\r\n",
		"padded length":           post + "Content-Length: 5" + strings.Repeat(" ", 200) + "\r\n\r\n",
		"other encoding":          post + "Transfer-Encoding: gzip, chunked\r\n\r\n",
		"encoding twice":          post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
		"encoding with a blank":   post + "Transfer-Encoding: \x0bchunked\r\n\r\n",
		"folded field":            post + "X-More: a\r\n Content-Length: 5\r\n\r\n",
		"bare line feed":          post + "X-More: a\nContent-Length: 5\r\n\r\n",
		"bare carriage return":    post + "X-More: a\rContent-Length: 5\r\n\r\n",
		"bare line feed at end":   post + "Content-Length: 5\r\n\n",
		"blank before the colon":  post + "Content-Length : 5\r\n\r\n",
		"blank in a name":         post + "Content Length: 5\r\n\r\n",
		"no colon":                post + "Content-Length 5\r\n\r\n",
		"no name":                 post + ": 5\r\n\r\n",
		"chunk size of letters":   chunkHead + "zz\r\n",
		"control byte as size":    chunkHead + "\x15\r\n",
		"negative chunk size":     chunkHead + "-1\r\n",
		"prefixed chunk size":     chunkHead + "0x5\r\n",
		"blank in the chunk size": chunkHead + "5 \r\nhello\r\n",
		"no chunk size":           chunkHead + "\r\n",
		"huge chunk size":         chunkHead + "fffffffffffffffff\r\n",
		"chunk too long":          chunkHead + "5\r\nhello!\r\n",
		"chunk with line feed":    chunkHead + "5\nhello\r\n",
		"chunk without an end":    chunkHead + "5\r\nhello0\r\n\r\n",
		"trailer with line feed":  chunkHead + "0\r\nX-Sum: 1\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			for _, before := range []string{"", plainPost + plainGet} {
				for piece := 1; piece <= 80; piece++ {
					ends, refused := feed(before+src+plainGet, piece)
					if refused == nil || len(ends) != strings.Count(before, "HTTP/1.1") {
						t.Fatalf("pieces of %d bytes: requests end at %v, refused: %v", piece, ends, refused)
					}
				}
			}
		})
	}
}

// countingReader counts the bytes that were read.
type countingReader struct {
	rd  io.Reader
	num int
}

func (cr *countingReader) Read(buf []byte) (int, error) {
	num, err := cr.rd.Read(buf)
	cr.num += num
	return num, err
}

// FuzzFramer compares the framer with net/http. Where the framer accepts a request that net/http accepts too, both must find the same
// end, for any cut of the bytes.
func FuzzFramer(f *testing.F) {
	for _, src := range []string{
		plainGet + plainPost + plainGet, chunkHead + "5;a=b\r\nhello\r\n0\r\nX: 1\r\n\r\n" + plainGet, "\r\n" + plainGet,
		"GET / HTTP/1.0\r\nTransfer-Encoding: chunked\r\nHost: x\r\n\r\n0\r\n\r\n", plainPost + "\r\n\r\n" + plainPost,
		"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\n" + plainGet, chunkHead + "5 \r\nhello\r\n0\r\n\r\n" + plainGet,
	} {
		for _, piece := range []uint8{1, 7, 255} {
			f.Add([]byte(src), piece)
		}
	}
	f.Fuzz(func(t *testing.T, src []byte, piece uint8) {
		ends, _ := feed(string(src), max(int(piece), 1))
		at := 0
		for _, end := range ends {
			// Only empty lines may precede a request. net/http ignores a few of them after a POST request and rejects others.
			for bytes.HasPrefix(src[at:], []byte("\r\n")) {
				at += 2
			}
			cr := &countingReader{rd: bytes.NewReader(src[at:])}
			rd := bufio.NewReader(cr)
			r, err := http.ReadRequest(rd)
			if err != nil || !r.ProtoAtLeast(1, 1) {
				return // the connection is closed, or CheckFraming compares the lengths
			}
			if _, err := io.Copy(io.Discard, r.Body); err != nil {
				return
			}
			if got := at + cr.num - rd.Buffered(); got != end {
				t.Fatalf("request at %d ends at %d, by net/http at %d: %q", at, end, got, src)
			}
			at = end
		}
	})
}
