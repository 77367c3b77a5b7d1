//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

var lastID atomic.Int64

// newID returns the ID of a new client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x5a000000+lastID.Add(1)) }

// requestHead returns the header of a client's request up to the fields that tell of its body.
func requestHead(method, target, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Affinity-Key: 17\r\nAuthorization: Bearer %s\r\n",
		method, target, host, id, deadline.Milliseconds(), key)
}

// reply is what a client got.
type reply struct {
	status int // zero if there was no complete answer
	body   []byte
	after  time.Duration // from the last byte of the request to the end of the answer or the connection
	err    error
}

func (re reply) String() string {
	if re.err != nil {
		return fmt.Sprintf("no complete answer after %.3f s: %v", re.after.Seconds(), re.err)
	}
	return fmt.Sprintf("status %d with %d bytes after %.3f s", re.status, len(re.body), re.after.Seconds())
}

// call sends a request on a new connection and reads the answer, within a limit.
func (gw *gatewayProcess) call(text string, limit time.Duration) reply {
	cn, err := net.DialTimeout("tcp", gw.settings["caller_address"], time.Second)
	if err != nil {
		return reply{err: err}
	}
	defer cn.Close()
	sent := time.Now()
	_ = cn.SetDeadline(sent.Add(limit))
	if _, err := io.WriteString(cn, text); err != nil {
		return reply{after: time.Since(sent), err: err}
	}
	return readReply(cn, sent)
}

// readReply reads an answer.
func readReply(cn net.Conn, sent time.Time) reply {
	resp, err := http.ReadResponse(bufio.NewReader(cn), nil)
	if err != nil {
		return reply{after: time.Since(sent), err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{after: time.Since(sent), err: err}
	}
	return reply{status: resp.StatusCode, body: body, after: time.Since(sent)}
}

// lookup sends an ordinary safe request and notes the answer.
func (gw *gatewayProcess) lookup() {
	id := newID()
	const deadline = 2500 * time.Millisecond
	re := gw.call(requestHead(http.MethodGet, "/read/x", id, deadline)+"\r\n", deadline)
	gw.en.note("ordinary client %s: %v", id, re)
}
