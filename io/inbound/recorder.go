package inbound

import (
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"
	"sync"
)

// maxRecordedBytes is the number of bytes of a response that are kept until it is taken. A handler that writes more waits.
const maxRecordedBytes = 64 << 10

// errAbandoned is returned by writes to a response that nobody will take.
var errAbandoned = errors.New("the connection of the request has ended")

// recorder is an http.ResponseWriter that keeps a response until the responses before it have been sent.
type recorder struct {
	mu        sync.Mutex
	changed   sync.Cond
	header    http.Header // of the handler
	sent      http.Header // as it was when the status was written
	status    int         // zero until it is written
	body      []byte
	ended     bool // the handler has returned or panicked
	complete  bool // it has returned
	abandoned bool
}

func newRecorder() *recorder {
	rc := &recorder{header: http.Header{}}
	rc.changed.L = &rc.mu
	return rc
}

// Header implements http.ResponseWriter.
func (rc *recorder) Header() http.Header { return rc.header }

// WriteHeader implements http.ResponseWriter.
func (rc *recorder) WriteHeader(status int) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.writeHeader(status)
}

func (rc *recorder) writeHeader(status int) {
	if rc.status == 0 {
		rc.status, rc.sent = status, rc.header.Clone()
		rc.changed.Broadcast()
	}
}

// Write implements http.ResponseWriter.
func (rc *recorder) Write(src []byte) (int, error) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.writeHeader(http.StatusOK)
	for len(rc.body) > 0 && len(rc.body)+len(src) > maxRecordedBytes && !rc.abandoned {
		rc.changed.Wait()
	}
	if rc.abandoned {
		return 0, errAbandoned
	}
	rc.body = append(rc.body, src...)
	rc.changed.Broadcast()
	return len(src), nil
}

// FlushError does nothing: the response is sent as soon as it is taken. http.ResponseController calls it.
func (rc *recorder) FlushError() error { return nil }

// end records the end of the handler. After a panic, the response breaks off when it is taken, so that the caller can't take what was
// written for a whole one.
func (rc *recorder) end() {
	problem := recover()
	rc.mu.Lock()
	defer rc.mu.Unlock()
	if problem == nil {
		rc.writeHeader(http.StatusOK)
	}
	rc.ended, rc.complete = true, problem == nil
	rc.changed.Broadcast()
	if err, ok := problem.(error); problem != nil && (!ok || !errors.Is(err, http.ErrAbortHandler)) {
		slog.Error("handler of a pipelined request has panicked", "panic", fmt.Sprint(problem), "stack", string(debug.Stack()))
	}
}

// abandon makes further writes fail.
func (rc *recorder) abandon() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.abandoned = true
	rc.changed.Broadcast()
}

// copyTo sends the response while the handler writes it. If the caller leaves, the handler's writes fail.
func (rc *recorder) copyTo(rw http.ResponseWriter, r *http.Request) {
	defer rc.abandon()
	rc.awaitHeader()
	if rc.status == 0 {
		panic(http.ErrAbortHandler)
	}
	hd := rw.Header()
	for name, vals := range rc.sent {
		hd[name] = vals
	}
	if AnnounceClose(r) {
		hd["Connection"] = []string{"close"}
	}
	rw.WriteHeader(rc.status)
	for {
		part, more := rc.next()
		if _, err := rw.Write(part); err != nil {
			return
		}
		if !more {
			break
		}
	}
	if !rc.complete {
		BreakOff(r)
	}
}

// awaitHeader waits for the status, or for the end of the handler.
func (rc *recorder) awaitHeader() {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for rc.status == 0 && !rc.ended {
		rc.changed.Wait()
	}
}

// next waits for a part of the body, and reports whether there may be more.
func (rc *recorder) next() (part []byte, more bool) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	for len(rc.body) == 0 && !rc.ended {
		rc.changed.Wait()
	}
	part, rc.body = rc.body, nil
	rc.changed.Broadcast()
	return part, !rc.ended
}
