//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	uploads       = 6
	uploadBytes   = 2 << 20
	uploadLimit   = 3 * time.Second
	earlyBytes    = 1000 // bytes of the body after which a worker answers early
	earlyReadOnAt = 300 * time.Millisecond
	answerBytes   = 90_000
	// A client's link carries 10 Mbit/s.
	piece      = 12_500
	pieceEvery = 10 * time.Millisecond
)

// uploadResult is what a worker got of an upload.
type uploadResult struct {
	id  string
	got []byte
	err error
}

// playEarlyAnswer sends chunked uploads to a worker that answers before it has read the whole body, keeps the connection and reads on
// later. What it gets must be the beginning of what the client sent.
func playEarlyAnswer(en *environment) (bool, error) {
	en.configure(nil)
	results := make(chan uploadResult, uploads)
	if _, err := en.startWorker("i-1", 4, func(ss *workerSession, r *http.Request) bool {
		return ss.serveUpload(r, results)
	}); err != nil {
		return false, err
	}
	gw, err := en.startGateway("front-hn-a-1")
	if err != nil {
		return false, err
	}
	broken := false
	for range uploads {
		wrong, err := gw.upload(results)
		if err != nil {
			return false, err
		}
		broken = broken || wrong
	}
	return broken, nil
}

// serveUpload runs an upload. Without the disruption it answers after the end of the body.
func (ss *workerSession) serveUpload(r *http.Request, results chan<- uploadResult) bool {
	en, id := ss.wk.en, r.Header.Get("X-Attempt-Id")
	got := make([]byte, earlyBytes)
	if _, err := io.ReadFull(r.Body, got); err != nil {
		return false
	}
	answer := strings.Repeat("a", answerBytes)
	if en.trouble {
		if !ss.answer(r, answer) {
			return false
		}
		en.note("worker has answered %s after %d bytes of its body", id, earlyBytes)
		time.Sleep(earlyReadOnAt)
	}
	rest, err := io.ReadAll(r.Body)
	got = append(got, rest...)
	results <- uploadResult{id, got, err}
	return err == nil && (en.trouble || ss.answer(r, answer))
}

// upload sends an upload and reports whether the worker got other bytes than the client sent.
func (gw *gatewayProcess) upload(results <-chan uploadResult) (wrong bool, err error) {
	cn, err := net.Dial("tcp", gw.settings["caller_address"])
	if err != nil {
		return false, err
	}
	defer cn.Close()
	id := newID()
	body := numberedLines(uploadBytes)
	gw.en.note("client sends upload %s of %d bytes", id, len(body))
	sent := time.Now()
	_ = cn.SetDeadline(sent.Add(uploadLimit))
	go sendChunked(cn, requestHead(http.MethodPost, "/upload/x", id, uploadLimit), body)
	gw.en.note("client %s: %v", id, readReply(cn, sent))
	select {
	case rs := <-results:
		return gw.en.compare(rs, body), nil
	case <-time.After(2 * uploadLimit):
		return false, fmt.Errorf("worker has not got the upload %s", id)
	}
}

// numberedLines returns a text of different lines.
func numberedLines(size int) []byte {
	var text []byte
	for nr := 0; len(text) < size; nr++ {
		text = fmt.Appendf(text, "line %08d\n", nr)
	}
	return text
}

// sendChunked sends a request with a chunked body at the rate of the client's link.
func sendChunked(cn net.Conn, head string, body []byte) {
	_, err := io.WriteString(cn, head+"Transfer-Encoding: chunked\r\n\r\n")
	for rest := body; len(rest) > 0 && err == nil; time.Sleep(pieceEvery) {
		num := min(len(rest), piece)
		_, err = fmt.Fprintf(cn, "%x\r\n%s\r\n", num, rest[:num])
		rest = rest[num:]
	}
	if err == nil {
		_, _ = io.WriteString(cn, "0\r\n\r\n")
	}
}

// compare notes what the worker got and reports whether it is anything else than the beginning of the body.
func (en *environment) compare(rs uploadResult, body []byte) bool {
	end := "the body ended early"
	if rs.err == nil {
		end = "the body ended as complete"
	}
	if bytes.HasPrefix(body, rs.got) && (rs.err != nil || len(rs.got) == len(body)) {
		en.note("worker got the first %d of %d bytes of %s, %s", len(rs.got), len(body), rs.id, end)
		return false
	}
	at := 0
	for at < min(len(rs.got), len(body)) && rs.got[at] == body[at] {
		at++
	}
	en.note("worker got %d of %d bytes of %s, other ones from %d on (%q where %q is due), %s", len(rs.got), len(body), rs.id, at,
		rs.got[at:min(at+14, len(rs.got))], body[at:min(at+14, len(body))], end)
	return true
}
