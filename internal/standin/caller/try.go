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

// maxResponseBytes is the maximum number of bytes kept of a response body. Downloads may be longer: only their size and
// checksum are needed.
const maxResponseBytes = 1 << 20

// try sends the request to an entry VM, reads and checks the response, and returns the record of this attempt.
func (op *operation) try(ctx context.Context, en entry, dup bool) record.Try {
	tr := record.Try{VM: en.VM, Domain: en.FailureDomain, Address: en.Address, RequestID: ticketRequestID(en.Ticket),
		StartedAt: time.Now().UnixNano(), Duplicate: dup}
	ctx, cancel := context.WithTimeout(ctx, op.wk.Timeout)
	defer cancel()
	connected := false
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected = true }})
	rs, err := op.roundTrip(ctx, en) //nolint:bodyclose // readResponse closes it
	if err != nil {
		tr.Outcome, tr.Reason = classify(err, connected)
		tr.Error = err.Error()
	} else {
		op.readResponse(&tr, rs)
	}
	tr.EndedAt = time.Now().UnixNano()
	return tr
}

// roundTrip sends the request and returns the response. The caller closes its body.
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
		op.leakKey(rq)
	}
	return op.rn.pools.get(en.Address).RoundTrip(rq)
}

// query returns the query parameters, which tell the target how to respond.
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

// leakKey copies the key into other headers and, if there is a body, into a trailer, as a careless caller might. It makes
// the content length unknown, because only a chunked body can have a trailer.
func (op *operation) leakKey(rq *http.Request) {
	rq.Header.Set("X-Api-Key", op.tm.Key)
	rq.Header.Set("Cookie", "session="+op.tm.Key)
	if rq.Body != nil {
		rq.ContentLength = -1
		rq.Trailer = http.Header{"X-Signed-With": {op.tm.Key}}
	}
}

// classify returns the outcome and reason of a failed round trip. The outcome is not_run if the request can't have reached
// a target, otherwise unknown. A dial failure proves that nothing was sent only if no connection was used before:
// http.Transport sends an idempotent request again over a new connection when a pooled connection breaks.
func classify(err error, connected bool) (record.Outcome, string) {
	reason := failureReason(err)
	switch {
	case reason != record.ReasonDial:
		return record.Unknown, reason
	case connected:
		return record.Unknown, record.ReasonConnection
	default:
		return record.NotRun, reason
	}
}

// failureReason returns the reason that is recorded for a failed round trip.
func failureReason(err error) string {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return record.ReasonDial
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, os.ErrDeadlineExceeded) {
		return record.ReasonTimeout
	}
	return record.ReasonConnection
}

// readResponse reads and closes the response and sets the outcome in tr. It checks the IDs and the body of a successful
// response.
func (op *operation) readResponse(tr *record.Try, rs *http.Response) {
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
	n, err := io.Copy(io.MultiWriter(hs, &limitedWriter{&head, maxResponseBytes}), rs.Body)
	if err != nil {
		// The response is lost, but the request may have run.
		tr.Outcome, tr.Reason, tr.Interrupted, tr.Error = record.Unknown, failureReason(err), true, err.Error()
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
		tr.Incomplete = n != size || sum != payload.SHA256(op.rec.Operation, size) || !checksumMatches(rs, sum)
		return
	}
	op.checkResponse(tr, head.Bytes())
}

// checkIDs compares the operation and the request ID in the response headers with those of the request. It compares the
// request ID only for non-idempotent work, because idempotent requests share the tickets of a cached look-up.
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

// checksumMatches reports whether sum equals the checksum that the target sent in a header or trailer. A missing checksum
// counts as a match.
func checksumMatches(rs *http.Response, sum string) bool {
	for _, hd := range []http.Header{rs.Header, rs.Trailer} {
		if want := hd.Get(payload.HeaderSHA256); want != "" && want != sum {
			return false
		}
	}
	return true
}

// checkResponse compares the operation, size and checksum that the target reports in the response body with the request.
func (op *operation) checkResponse(tr *record.Try, body []byte) {
	var an payload.Response
	if err := json.Unmarshal(body, &an); err != nil {
		tr.Incomplete, tr.Error = true, "decode response body: "+err.Error()
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

// limitedWriter writes at most remaining bytes to buf and discards the rest.
type limitedWriter struct {
	buf       *bytes.Buffer
	remaining int
}

// Write reports all bytes as written, also those that it discards. It never fails.
func (lw *limitedWriter) Write(b []byte) (int, error) {
	keep := min(lw.remaining, len(b))
	lw.buf.Write(b[:keep])
	lw.remaining -= keep
	return len(b), nil
}

// pacedReader limits the rate at which rd is read, in bytes per second. A rate of zero means no limit.
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
