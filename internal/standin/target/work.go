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

// maxDownload bounds the body that a query may ask for.
const maxDownload = 1 << 30

// job is one request at a target.
type job struct {
	tg  *Target
	w   http.ResponseWriter
	r   *http.Request
	rec record.Work
}

// work serves one request at the path of a route and records it.
func (tg *Target) work(w http.ResponseWriter, r *http.Request) {
	jb := &job{tg: tg, w: w, r: r, rec: tg.newRecord(r)}
	ctx, cancel := jb.deadline()
	defer cancel()
	defer jb.finish()
	jb.run(ctx)
}

// newRecord returns the record of a request that has just arrived.
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
		KeySeen:       keyInHeader(r.Header) || keyInURL(r.URL),
		DrainingSince: tg.drained.Load(),
	}
}

// deadline returns the context of the request, bounded by Request-Deadline-Ms, the milliseconds that remain.
func (jb *job) deadline() (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(jb.r.Header.Get("Request-Deadline-Ms"), 10, 64)
	if err != nil || ms <= 0 {
		return context.WithCancel(jb.r.Context())
	}
	return context.WithTimeout(jb.r.Context(), time.Duration(ms)*time.Millisecond)
}

// finish writes the record, also when the answer is broken off by a panic.
func (jb *job) finish() {
	jb.rec.KeySeen = jb.rec.KeySeen || keyInHeader(jb.r.Trailer)
	if jb.rec.EndedAt == 0 {
		jb.rec.EndedAt = time.Now().UnixNano()
	}
	jb.tg.ps.records.Add(jb.rec)
}

// leave gives the slot back. The end is taken before, so that records never show more requests than slots.
func (jb *job) leave() {
	jb.rec.EndedAt = time.Now().UnixNano()
	jb.tg.gate.leave()
}

// run waits for a slot, reads the body, works and responds.
func (jb *job) run(ctx context.Context) {
	if err := jb.tg.gate.enter(ctx); err != nil {
		jb.refuse(ctx, err)
		return
	}
	defer jb.leave()
	jb.rec.StartedAt = time.Now().UnixNano()
	an := payload.Response{Target: string(jb.tg.cfg.Name), RequestID: string(jb.rec.RequestID), Operation: jb.rec.Operation}
	hs := sha256.New()
	stop := context.AfterFunc(ctx, func() { _ = http.NewResponseController(jb.w).SetReadDeadline(time.Unix(1, 0)) })
	n, err := io.Copy(hs, jb.r.Body)
	stop()
	jb.rec.BytesIn, an.Bytes, an.SHA256 = n, n, hex.EncodeToString(hs.Sum(nil))
	if err == nil {
		err = sleep(ctx, jb.serviceTime())
	}
	if err != nil {
		jb.cancel(ctx)
		return
	}
	jb.rec.Outcome = record.Ran
	jb.respond(an)
}

// serviceTime draws the service time, with the median that the request names if it does.
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
	return jb.tg.service.draw(time.Now(), jb.rec.Route, client, time.Duration(ms*float64(time.Millisecond)))
}

// refuse responds to a request that got no slot. One whose caller went away while it waited is canceled.
func (jb *job) refuse(ctx context.Context, err error) {
	if !errors.Is(err, errFull) {
		jb.cancel(ctx)
		return
	}
	jb.rec.Outcome, jb.rec.Reason = record.Refused, "full"
	jb.notRun(http.StatusServiceUnavailable)
}

// notRun responds with the header that proves that the request did not run.
func (jb *job) notRun(status int) {
	jb.header()
	jb.w.Header().Set("Work-Status", "not_run")
	jb.w.WriteHeader(status)
}

// cancel records that the work was stopped. A response makes sense only if the deadline passed.
func (jb *job) cancel(ctx context.Context) {
	jb.rec.Outcome, jb.rec.Reason = record.Canceled, "connection_closed"
	if jb.r.Context().Err() != nil || !errors.Is(ctx.Err(), context.DeadlineExceeded) {
		panic(http.ErrAbortHandler)
	}
	jb.rec.Reason = "deadline"
	if !jb.rec.Started() {
		jb.notRun(http.StatusServiceUnavailable)
		return
	}
	jb.header()
	jb.w.WriteHeader(http.StatusGatewayTimeout)
}

// header sets the headers that every response carries.
func (jb *job) header() {
	hd := jb.w.Header()
	hd.Set("Request-Id", string(jb.rec.RequestID))
	hd.Set(payload.HeaderOperation, jb.rec.Operation)
	hd.Set(payload.HeaderTarget, string(jb.tg.cfg.Name))
	hd.Set("Work-Load", jb.tg.workLoad())
}

// respond sends the answer, or the body whose size the query names.
func (jb *job) respond(an payload.Response) {
	jb.header()
	hd, qr := jb.w.Header(), jb.r.URL.Query()
	size, err := strconv.ParseInt(qr.Get(payload.QueryBytes), 10, 64)
	if err != nil || size < 0 || size > maxDownload {
		body, err := json.Marshal(an)
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
		hd.Set(payload.HeaderSHA256, payload.SHA256(an.Operation, size))
	}
	hs := sha256.New()
	jb.send(size, func(w io.Writer) (int64, error) {
		return io.Copy(io.MultiWriter(w, hs), payload.Reader(an.Operation, size))
	})
	if trailer {
		hd.Set(payload.HeaderSHA256, hex.EncodeToString(hs.Sum(nil)))
	}
}

// send writes the body. If the target was told to truncate, it breaks the connection off after half of it.
func (jb *job) send(size int64, write func(io.Writer) (int64, error)) {
	out := &halfWriter{w: jb.w, left: size}
	if jb.takeTruncate() {
		jb.rec.Truncated = true
		out.left = size / 2
	}
	n, err := write(out)
	jb.rec.BytesOut = min(n, size)
	if err != nil || jb.rec.Truncated {
		_ = http.NewResponseController(jb.w).Flush() // the first half must leave before the connection closes
		panic(http.ErrAbortHandler)
	}
}

// takeTruncate reports whether this answer shall be broken off.
func (jb *job) takeTruncate() bool {
	for {
		left := jb.tg.truncate.Load()
		if left <= 0 {
			return false
		}
		if jb.tg.truncate.CompareAndSwap(left, left-1) {
			return true
		}
	}
}

// errHalf ends an answer that is broken off.
var errHalf = errors.New("answer is broken off")

// halfWriter fails after left bytes.
type halfWriter struct {
	w    io.Writer
	left int64
}

// Write passes on what is still allowed.
func (hw *halfWriter) Write(buf []byte) (int, error) {
	if int64(len(buf)) <= hw.left {
		hw.left -= int64(len(buf))
		return hw.w.Write(buf)
	}
	n, err := hw.w.Write(buf[:hw.left])
	hw.left = 0
	if err == nil {
		err = errHalf
	}
	return n, err
}
