package inbound

import (
	"bufio"
	"bytes"
	"context"
	"net/http"
	"sync/atomic"

	"damasklatch/io/httpframe"
)

const (
	// maxOverlap is the number of further requests of a connection that are served while an earlier one runs.
	maxOverlap = 8
	// maxOverlapTotal is the same for all connections of a Pipeline. It bounds the memory of responses that wait for their turn.
	maxOverlapTotal = 512
)

// Pipeline is a handler that begins to serve the requests that a caller has pipelined while an earlier one of the connection still
// runs. The responses keep the order of the requests. Its server must have been passed to Attach, and its connections must come from a
// Listener; others are served one request at a time.
type Pipeline struct {
	Handler http.Handler
	// MayOverlap reports whether a request may be served before the ones ahead of it have ended. If their connection breaks, the
	// caller does not learn whether it has run, so the request must be idempotent.
	MayOverlap func(r *http.Request) bool
	// OnOverlap is called for each request that is started before the ones ahead of it have ended.
	OnOverlap func()

	running atomic.Int64 // requests that were started and whose response was not taken
}

// ServeHTTP implements http.Handler.
func (pl *Pipeline) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	cn, ok := r.Context().Value(connKey{}).(*conn)
	if !ok {
		pl.Handler.ServeHTTP(rw, r)
		return
	}
	started := cn.beginOverlap(pl, r)
	if started == nil {
		pl.Handler.ServeHTTP(rw, r)
		return
	}
	started.pipeline.running.Add(-1)
	started.rec.copyTo(rw, r)
}

// startedRequest is a further request that is served while an earlier one of its connection runs.
type startedRequest struct {
	pipeline *Pipeline
	r        *http.Request
	cancel   context.CancelFunc
	rec      *recorder
}

// run serves the request.
func (st *startedRequest) run() {
	defer st.cancel()
	defer st.rec.end()
	st.pipeline.Handler.ServeHTTP(st.rec, st.r)
}

// overlap is the state of a connection whose requests may overlap.
type overlap struct {
	pipeline *Pipeline // nil while requests must not overlap
	started  []*startedRequest
	bytes    int  // of the started requests, at the beginning of conn.ahead
	blocked  bool // the next further request must wait for the ones ahead of it
}

// beginOverlap lets further requests overlap with one that is served now. It returns the started request if it was started before.
func (cn *conn) beginOverlap(pl *Pipeline, r *http.Request) *startedRequest {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	ov := &cn.overlap
	ov.pipeline = nil
	if !r.Close && r.ProtoAtLeast(1, 1) {
		ov.pipeline = pl
	}
	if len(ov.started) == 0 {
		ov.blocked = false
		return nil
	}
	first := ov.started[0]
	ov.started = ov.started[1:]
	return first
}

// mayReadAhead reports whether bytes of further requests are to be read while a request runs.
func (cn *conn) mayReadAhead() bool {
	ov := &cn.overlap
	return ov.pipeline != nil && !ov.blocked && len(ov.started) < maxOverlap && len(cn.ahead) < maxReadAhead && !cn.ln.inPhase(leaving)
}

// startAhead starts the further requests that have been read completely and may overlap.
func (cn *conn) startAhead() {
	ov := &cn.overlap
	for cn.mayReadAhead() {
		var fr framer
		used := fr.next(cn.ahead[ov.bytes:])
		if fr.state != atEnd && fr.refused == nil {
			return // not complete
		}
		if !ov.start(cn, &fr, cn.ahead[ov.bytes:ov.bytes+used]) {
			ov.blocked = true
			return
		}
		ov.bytes += used
	}
}

// start starts a request. It returns false if the request must wait.
func (ov *overlap) start(cn *conn, fr *framer, src []byte) bool {
	pl := ov.pipeline
	if fr.refused != nil || fr.chunked || fr.length > 0 || pl.running.Load() >= maxOverlapTotal {
		return false
	}
	r, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(src)))
	if err != nil || !isPlain(r) || !pl.MayOverlap(r) {
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.RemoteAddr = cn.RemoteAddr().String()
	st := &startedRequest{pipeline: pl, r: r.WithContext(ctx), cancel: cancel, rec: newRecorder()}
	pl.running.Add(1)
	pl.OnOverlap()
	ov.started = append(ov.started, st)
	go st.run()
	return !r.Close
}

// isPlain reports whether net/http will pass the request to the handler as it is.
func isPlain(r *http.Request) bool {
	if !r.ProtoAtLeast(1, 1) || r.Host == "" || r.Header.Get("Expect") != "" || r.Header.Get("Upgrade") != "" {
		return false
	}
	for name, vals := range r.Header {
		if !httpframe.ValidName(name) {
			return false
		}
		for _, val := range vals {
			if !httpframe.ValidValue(val) {
				return false
			}
		}
	}
	return true
}

// consume records that bytes of ahead were passed on as those of the current request.
func (ov *overlap) consume(num int) { ov.bytes = max(ov.bytes-num, 0) }

// abandon cancels all started requests, whose responses will not be taken.
func (ov *overlap) abandon() {
	for _, st := range ov.started {
		st.cancel()
		st.rec.abandon()
		st.pipeline.running.Add(-1)
	}
	ov.started = nil
}
