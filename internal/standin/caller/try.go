package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"os"
	"strconv"
	"time"

	"damasklatch/core/id"
	"damasklatch/internal/standin/payload"
	"damasklatch/internal/standin/record"

	"github.com/pkg/errors"
)

// Headers between callers and entry VMs.
const (
	headerTicket  = "Damasklatch-Ticket"
	headerOutcome = "Damasklatch-Outcome"
	headerReason  = "Damasklatch-Reason"
)

// maxAnswer bounds an answer that is no download.
const maxAnswer = 1 << 20

// try sends the request to one entry VM once.
func (op *operation) try(ctx context.Context, en entry, dup bool) record.Try {
	tr := record.Try{VM: en.VM, Domain: en.FailureDomain, Address: en.Address, RequestID: ticketRequest(en.Ticket),
		StartedAt: time.Now().UnixNano(), Duplicate: dup}
	ctx, cancel := context.WithTimeout(ctx, op.wk.Timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	rs, err := op.roundTrip(ctx, en) //nolint:bodyclose // read closes it
	if err != nil {
		tr.Outcome, tr.Reason = classify(err, connected)
		tr.Error = err.Error()
	} else {
		op.read(&tr, rs)
	}
	tr.EndedAt = time.Now().UnixNano()
	return tr
}

// roundTrip sends the request.
func (op *operation) roundTrip(ctx context.Context, en entry) (*http.Response, error) {
	rq, err := http.NewRequestWithContext(ctx, op.wk.Method, "http://"+en.Address+op.wk.Path+"?"+op.query().Encode(), nil)
	if err != nil {
		return nil, err
	}
	if size := op.wk.UploadBytes; size > 0 {
		rq.Body = io.NopCloser(&pacedReader{ctx: ctx, rd: payload.Reader(op.rec.Operation, size), rate: op.wk.BytesPerSecond})
		rq.ContentLength = size
	}
	rq.Header.Set(headerTicket, en.Ticket)
	if op.tm.Key != "" {
		rq.Header.Set("Authorization", "Bearer "+op.tm.Key)
	}
	if op.wk.LeakKey {
		op.leak(rq)
	}
	return op.rn.pools.get(en.Address).RoundTrip(rq)
}

// query returns the parameters for the target.
func (op *operation) query() url.Values {
	qr := url.Values{payload.QueryOperation: {op.rec.Operation}, payload.QueryClient: {op.client.String()}}
	if op.wk.ServiceMs > 0 {
		qr.Set(payload.QueryServiceMs, strconv.FormatFloat(op.wk.ServiceMs, 'f', -1, 64))
	}
	if op.wk.DownloadBytes > 0 {
		qr.Set(payload.QueryBytes, strconv.FormatInt(op.wk.DownloadBytes, 10))
		if op.trailer {
			qr.Set(payload.QueryTrailer, "1")
		}
	}
	if op.wk.LeakKey {
		qr.Set("api_key", op.tm.Key)
	}
	return qr
}

// leak puts the key where a careless caller might put it, besides the query. A body without a length carries a
// trailer.
func (op *operation) leak(rq *http.Request) {
	rq.Header.Set("X-Api-Key", op.tm.Key)
	rq.Header.Set("Cookie", "session="+op.tm.Key)
	if rq.Body != nil {
		rq.ContentLength = -1
		rq.Trailer = http.Header{"X-Signed-With": {op.tm.Key}}
	}
}

// classify tells whether a failed round trip may have reached a target. A dial failure proves that nothing was sent only
// if there was no connection before: http.Transport sends an idempotent request again over a new connection when a
// pooled one breaks.
func classify(err error, connected bool) (record.Outcome, string) {
	reason := reasonOf(err)
	switch {
	case reason != record.ReasonDial:
		return record.Unknown, reason
	case connected:
		return record.Unknown, record.ReasonConnection
	default:
		return record.NotRun, reason
	}
}

// reasonOf returns the caller's reason for a failed round trip.
func reasonOf(err error) string {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return record.ReasonDial
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return record.ReasonTimeout
	}
	return record.ReasonConnection
}

// read reads the whole response and judges it.
func (op *operation) read(tr *record.Try, rs *http.Response) {
	defer func() { _ = rs.Body.Close() }()
	tr.Status, tr.Reason = rs.StatusCode, rs.Header.Get(headerReason)
	switch rs.Header.Get(headerOutcome) {
	case "done":
		tr.Outcome = record.Answered
	case "not_run":
		tr.Outcome = record.NotRun
	case "unknown":
		tr.Outcome = record.Unknown
	default:
		tr.Outcome, tr.Reason = record.Unknown, record.ReasonNoOutcome
	}
	hs := sha256.New()
	var head bytes.Buffer
	n, err := io.Copy(io.MultiWriter(hs, &limitedWriter{&head, maxAnswer}), rs.Body)
	if err != nil {
		// The caller has lost the answer, but the request may have run.
		tr.Outcome, tr.Reason, tr.Interrupted, tr.Error = record.Unknown, reasonOf(err), true, err.Error()
		return
	}
	if tr.Outcome != record.Answered || rs.StatusCode/100 != 2 {
		return
	}
	op.mu.Lock()
	op.rec.Target = id.Target(rs.Header.Get(payload.HeaderTarget))
	op.mu.Unlock()
	op.checkIDs(tr, rs)
	if size := op.wk.DownloadBytes; size > 0 {
		sum := hex.EncodeToString(hs.Sum(nil))
		tr.Incomplete = n != size || sum != payload.SHA256(op.rec.Operation, size) || !announced(rs, sum)
		return
	}
	op.checkAnswer(tr, head.Bytes())
}

// checkIDs compares the ids that the target echoed with those of the request. The ticket's request id holds for
// non-idempotent work only, as idempotent requests share the tickets of a cached look-up.
func (op *operation) checkIDs(tr *record.Try, rs *http.Response) {
	if got := rs.Header.Get(payload.HeaderOperation); got != "" && got != op.rec.Operation {
		tr.Crossed = true
	}
	got := id.Request(rs.Header.Get("Request-Id"))
	if got == "" {
		return
	}
	if !op.wk.Idempotent && tr.RequestID != "" && got != tr.RequestID {
		tr.Crossed = true
	}
	tr.RequestID = got
}

// announced compares the checksum with the one that the target sent in a header or trailer, if it arrived.
func announced(rs *http.Response, sum string) bool {
	for _, hd := range []http.Header{rs.Header, rs.Trailer} {
		if want := hd.Get(payload.HeaderSHA256); want != "" && want != sum {
			return false
		}
	}
	return true
}

// checkAnswer compares the target's account of the request with the request.
func (op *operation) checkAnswer(tr *record.Try, body []byte) {
	var an payload.Response
	if err := json.Unmarshal(body, &an); err != nil {
		tr.Incomplete, tr.Error = true, "answer: "+err.Error()
		return
	}
	if an.Operation != op.rec.Operation {
		tr.Crossed = true
	}
	size := op.wk.UploadBytes
	if an.Bytes != size || an.SHA256 != payload.SHA256(op.rec.Operation, size) {
		tr.Incomplete = true
	}
}

// limitedWriter stores the first bytes and drops the rest.
type limitedWriter struct {
	buf  *bytes.Buffer
	left int
}

// Write never fails.
func (lw *limitedWriter) Write(b []byte) (int, error) {
	keep := min(lw.left, len(b))
	lw.buf.Write(b[:keep])
	lw.left -= keep
	return len(b), nil
}

// pacedReader hands out bytes at a rate.
type pacedReader struct {
	ctx   context.Context
	rd    io.Reader
	rate  int64
	begin time.Time
	sent  int64
}

// Read waits until the rate allows the bytes that it returns.
func (pr *pacedReader) Read(buf []byte) (int, error) {
	if pr.rate <= 0 {
		return pr.rd.Read(buf)
	}
	if pr.begin.IsZero() {
		pr.begin = time.Now()
	}
	due := time.Duration(float64(pr.sent) / float64(pr.rate) * float64(time.Second))
	if !sleepUntil(pr.ctx, pr.begin.Add(due)) {
		return 0, pr.ctx.Err()
	}
	n, err := pr.rd.Read(buf)
	pr.sent += int64(n)
	return n, err
}
