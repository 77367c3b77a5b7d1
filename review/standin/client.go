//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// lastID is the number of the newest attempt.
var lastID atomic.Int64

func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// attempt is one attempt of a client, as the client saw it.
type attempt struct {
	id, method, path string
	vm               *vm
	kept             bool // the connection had carried a request before
	sent, ended      time.Time
	status           int // 0 if there was no complete answer
	retryAfter       time.Duration
	err              error
}

// connection is a connection of a client to a daemon.
type connection struct {
	vm   *vm
	cn   net.Conn
	rd   *bufio.Reader
	used bool
}

func dial(mc *vm) (*connection, error) {
	cn, err := net.DialTimeout("tcp", mc.addr["caller_address"], time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{vm: mc, cn: cn, rd: bufio.NewReader(cn)}, nil
}

func (cc *connection) close() { _ = cc.cn.Close() }

// head returns the request line and the header of a request, without the empty line that ends it.
func head(method, path, id string, deadline time.Duration) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Affinity-Key: %d\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, id, lastID.Load()%24, deadline.Milliseconds(), key)
}

// send sends one request and waits for its answer. It reports whether the connection can carry another request.
func (cc *connection) send(rg *rig, method, path string, body int, deadline time.Duration) (attempt, bool) {
	at := attempt{id: newID(), method: method, path: path, vm: cc.vm, kept: cc.used, sent: time.Now()}
	cc.used = true
	text := head(method, path, at.id, deadline)
	if body > 0 {
		text += fmt.Sprintf("Content-Length: %d\r\n", body)
	}
	rg.note("client: sends %s %s %s to %s", at.id, method, path, cc.vm.name)
	_ = cc.cn.SetDeadline(at.sent.Add(deadline))
	_, at.err = cc.cn.Write(append([]byte(text+"\r\n"), bytes.Repeat([]byte("b"), body)...))
	open := false
	if at.err == nil {
		open = cc.receive(&at)
	}
	at.ended = time.Now()
	rg.note("client: %s ends with status %d, error %v", at.id, at.status, at.err)
	return at, open
}

// receive reads the answer to an attempt and reports whether the connection stays open.
func (cc *connection) receive(at *attempt) bool {
	resp, err := http.ReadResponse(cc.rd, nil)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		at.err = err
		return false
	}
	at.status = resp.StatusCode
	if secs, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		at.retryAfter = time.Duration(secs * float64(time.Second))
	}
	return !resp.Close
}
