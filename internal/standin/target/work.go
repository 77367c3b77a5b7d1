package target

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"damasklatch/core/id"
	"damasklatch/internal/standin/payload"
	"damasklatch/internal/standin/record"

	"github.com/pkg/errors"
)

// maxDownloadBytes limits the size that a request may set with QueryBytes. A larger size counts as not set.
const maxDownloadBytes = 1 << 30

// job is the state of one request at a target.
type job struct {
	tg  *Target
	w   http.ResponseWriter
	r   *http.Request
	rec record.Work
}

// work serves a request and records it.
func (tg *Target) work(w http.ResponseWriter, r *http.Request) {
	jb := &job{tg: tg, w: w, r: r, rec: tg.newRecord(r)}
	ctx, cancel := jb.contextWithDeadline()
	defer cancel()
	defer jb.finish()
	jb.run(ctx)
}

// newRecord returns the record of a request, with the current time as its arrival.
func (tg *Target) newRecord(r *http.Request) record.Work {
	rt, ok := routeFor(tg.ps.op.Routes, r.URL.Path)
	return record.Work{
		Kind: record.KindWork, Target: tg.cfg.Name, Pool: tg.cfg.Pool, FailureDomain: tg.ps.op.FailureDomain,
		ArrivedAt:     time.Now().UnixNano(),
		RequestID:     id.Request(r.Header.Get("Request-Id")),
		Operation:     r.URL.Query().Get(payload.QueryOperation),
		Team:          id.Team(r.Header.Get("Team")),
		Route:         rt.Name,
		Method:        r.Method,
		Idempotent:    (ok && rt.Idempotent) || (!ok && (r.Method == http.MethodGet || r.Method == http.MethodHead)),
		KeySeen:       headerContainsKey(r.Header) || urlContainsKey(r.URL),
		DrainingSince: tg.drainingSince.Load(),
	}
}

// contextWithDeadline returns the context of the request with the deadline of the Request-Deadline-Ms header, which
// holds the remaining time in milliseconds. Without a valid header the context has no deadline.
func (jb *job) contextWithDeadline() (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(jb.r.Header.Get("Request-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(jb.r.Context())
	}
	return context.WithTimeout(jb.r.Context(), time.Duration(ms)*time.Millisecond)
}

// finish writes the record. It is deferred, so that requests aborted by a panic are recorded too.
func (jb *job) finish() {
	jb.rec.KeySeen = jb.rec.KeySeen || headerContainsKey(jb.r.Trailer)
	if jb.rec.EndedAt == 0 {
		jb.rec.EndedAt = time.Now().UnixNano()
	}
	jb.tg.ps.records.Add(jb.rec)
}

// releaseSlot records the end of the request and then frees its slot. In this order, the records never show more
// running requests than slots.
func (jb *job) releaseSlot() {
	jb.rec.EndedAt = time.Now().UnixNano()
	jb.tg.slotQueue.release()
}

// run waits for a slot, reads the request body, sleeps for the service time and responds.
func (jb *job) run(ctx context.Context) {
	if err := jb.tg.slotQueue.acquire(ctx); err != nil {
		jb.refuse(ctx, err)
		return
	}
	defer jb.releaseSlot()
	jb.rec.StartedAt = time.Now().UnixNano()
	rs := payload.Response{Target: string(jb.tg.cfg.Name), RequestID: string(jb.rec.RequestID), Operation: jb.rec.Operation}
	hs := sha256.New()
	// A read deadline in the past interrupts the read of the body when the context ends.
	stop := context.AfterFunc(ctx, func() { _ = http.NewResponseController(jb.w).SetReadDeadline(time.Unix(1, 0)) })
	n, err := io.Copy(hs, jb.r.Body)
	stop()
	jb.rec.BytesIn, rs.Bytes, rs.SHA256 = n, n, hex.EncodeToString(hs.Sum(nil))
	if err == nil {
		err = sleep(ctx, jb.serviceTime())
	}
	if err != nil {
		jb.cancel(ctx)
		return
	}
	jb.rec.Outcome = record.Ran
	jb.respond(rs)
}

// serviceTime returns a random service time. Its median comes from HeaderServiceMs, else from QueryServiceMs, else
// from the options.
func (jb *job) serviceTime() time.Duration {
	val := jb.r.Header.Get(payload.HeaderServiceMs)
	if val == "" {
		val = jb.r.URL.Query().Get(payload.QueryServiceMs)
	}
	ms, err := strconv.ParseFloat(val, 64)
	if err != nil {
		ms = 0
	}
	client := jb.r.URL.Query().Get(payload.QueryClient)
	return jb.tg.serviceTimes.draw(time.Now(), jb.rec.Route, client, time.Duration(ms*float64(time.Millisecond)))
}

// refuse handles a request that got no slot. It refuses the request if the queue was full, and cancels it if its
// context ended while it waited.
func (jb *job) refuse(ctx context.Context, err error) {
	if !errors.Is(err, errQueueFull) {
		jb.cancel(ctx)
		return
	}
	jb.rec.Outcome, jb.rec.Reason = record.Refused, "full"
	jb.respondNotRun(http.StatusServiceUnavailable)
}

// respondNotRun responds with the header that tells the caller that the request did not run.
func (jb *job) respondNotRun(status int) {
	jb.setHeader()
	jb.w.Header().Set("Work-Status", "not_run")
	jb.w.WriteHeader(status)
}

// cancel records that the request was canceled. It responds if the deadline passed. Otherwise the connection is
// broken, and it aborts the response.
func (jb *job) cancel(ctx context.Context) {
	jb.rec.Outcome, jb.rec.Reason = record.Canceled, "connection_closed"
	if jb.r.Context().Err() != nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	jb.rec.Reason = "deadline"
	if !jb.rec.Started() {
		jb.respondNotRun(http.StatusServiceUnavailable)
		return
	}
	jb.setHeader()
	jb.w.WriteHeader(http.StatusGatewayTimeout)
}

// setHeader sets the headers that are common to all responses.
func (jb *job) setHeader() {
	hd := jb.w.Header()
	hd.Set("Request-Id", string(jb.rec.RequestID))
	hd.Set(payload.HeaderOperation, jb.rec.Operation)
	hd.Set(payload.HeaderTarget, string(jb.tg.cfg.Name))
	hd.Set("Work-Load", jb.tg.workLoad())
}

// respond sends a generated body if the request sets a valid QueryBytes, else rs as JSON.
func (jb *job) respond(rs payload.Response) {
	jb.setHeader()
	hd, qr := jb.w.Header(), jb.r.URL.Query()
	size, err := strconv.ParseInt(qr.Get(payload.QueryBytes), 10, 64)
	if err != nil || size < 0 || size > maxDownloadBytes {
		body, err := json.Marshal(rs)
		if err != nil {
			panic(err)
		}
		hd.Set("Content-Type", "application/json")
		hd.Set("Content-Length", strconv.Itoa(len(body)))
		jb.send(int64(len(body)), func(w io.Writer) (int64, error) { n, err := w.Write(body); return int64(n), err })
		return
	}
	hd.Set("Content-Type", "application/octet-stream")
	trailer := qr.Has(payload.QueryTrailer)
	if trailer {
		hd.Set("Trailer", payload.HeaderSHA256)
	} else {
		hd.Set("Content-Length", strconv.FormatInt(size, 10))
		hd.Set(payload.HeaderSHA256, payload.SHA256(rs.Operation, size))
	}
	hs := sha256.New()
	jb.send(size, func(w io.Writer) (int64, error) {
		return io.Copy(io.MultiWriter(w, hs), payload.Reader(rs.Operation, size))
	})
	if trailer {
		hd.Set(payload.HeaderSHA256, hex.EncodeToString(hs.Sum(nil)))
	}
}

// send writes a body of size bytes with write. If the response is to be truncated, it closes the connection after
// half of the body.
func (jb *job) send(size int64, write func(io.Writer) (int64, error)) {
	out := &truncatingWriter{w: jb.w, left: size}
	if jb.consumeTruncation() {
		jb.rec.Truncated = true
		out.left = size / 2
	}
	n, err := write(out)
	jb.rec.BytesOut = min(n, size)
	if err != nil || jb.rec.Truncated {
		_ = http.NewResponseController(jb.w).Flush() // the first half must be sent before the connection is closed
		panic(http.ErrAbortHandler)
	}
}

// consumeTruncation reports whether to truncate this response. If so, it decrements the number of responses to
// truncate.
func (jb *job) consumeTruncation() bool {
	for {
		left := jb.tg.truncationsLeft.Load()
		if left <= 0 {
			return false
		}
		if jb.tg.truncationsLeft.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// errTruncated is returned by truncatingWriter when its limit is reached.
var errTruncated = errors.New("response truncated on command")

// truncatingWriter passes on left bytes and then fails with errTruncated.
type truncatingWriter struct {
	w    io.Writer
	left int64
}

// Write writes buf up to the limit. It returns errTruncated if buf exceeds the limit.
func (hw *truncatingWriter) Write(buf []byte) (int, error) {
	if int64(len(buf)) <= hw.left {
		hw.left -= int64(len(buf))
		return hw.w.Write(buf)
	}
	n, err := hw.w.Write(buf[:hw.left])
	hw.left = 0
	if err == nil {
		err = errTruncated
	}
	return n, err
}
