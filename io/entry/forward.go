package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"damasklatch/core/dedup"
	"damasklatch/io/inbound"
	"damasklatch/io/target"
)

// defaultDeadline is the deadline of requests to a route that configures none.
const defaultDeadline = 30 * time.Second

// bufferBody reads the body of an idempotent request into memory if it is small and its size is known, so that it can be
// sent again in a retry.
func (rq *request) bufferBody() error {
	size := rq.r.ContentLength
	if rq.body == nil || !rq.route.Idempotent || size < 0 || size > dedup.MaxStoredBody {
		return nil
	}
	ctx, cancel := context.WithTimeout(rq.r.Context(), rq.deadline())
	defer cancel()
	rq.body.ctx = ctx
	buf := make([]byte, size)
	if _, err := io.ReadFull(rq.body, buf); err != nil {
		return err
	}
	// After the end of the body was read, net/http can detect that the caller closes the connection.
	if _, err := rq.body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	rq.buffered = buf
	return nil
}

// forward sends the request to a target and passes the response to the caller.
func (rq *request) forward() {
	ctx, cancel := context.WithTimeout(context.Background(), rq.deadline())
	defer cancel()
	stopCancel := context.AfterFunc(rq.r.Context(), cancel)
	defer stopCancel()
	tr := &target.Request{
		ID: rq.id, Team: rq.team, Pool: rq.route.Pool, Idempotent: rq.route.Idempotent, Key: rq.key,
		Method: rq.r.Method, URL: rq.r.URL, Header: rq.r.Header, ContentLength: rq.r.ContentLength,
	}
	switch {
	case rq.buffered != nil:
		tr.Rewind = func() io.Reader { return bytes.NewReader(rq.buffered) }
		tr.Body = tr.Rewind()
	case rq.body != nil:
		rq.body.ctx = ctx
		tr.Body, tr.Trailer = rq.body, rq.r.Trailer
		// Allows the response to start before the caller has sent the complete body.
		rq.rc.EnableFullDuplex() //nolint:errcheck // fails only for response writers of tests, which need no streaming
		unblock := context.AfterFunc(ctx, rq.body.abort)
		defer unblock()
	}
	res, err := rq.sv.op.Targets.Do(ctx, tr)
	if err != nil {
		rq.respondError(ctx, err)
		return
	}
	if rq.claim != nil {
		// A target has run the request. The response is stored for duplicates even if this caller disconnects now.
		stopCancel()
	}
	rq.passResponse(ctx, res)
}

// respondError responds to a request that got no response from a target.
func (rq *request) respondError(ctx context.Context, err error) {
	var te *target.Error
	if !errors.As(err, &te) {
		te = &target.Error{Kind: target.ResetAfterWrite, MayHaveRun: true}
	}
	if te.MayHaveRun {
		// A body that waited for its link until the deadline fails with Canceled, like a body that the caller aborted.
		if te.Kind == target.Canceled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rq.refuse(unknown(dedup.Timeout))
			return
		}
		rq.refuse(unknown(unknownReasons[te.Kind]))
		return
	}
	rq.refuse(notRun(notRunReasons[te.Kind]))
}

// The reasons that a caller gets for the kinds of errors: unknownReasons if a target may have run the request, otherwise
// notRunReasons.
var (
	unknownReasons = map[target.ErrorKind]dedup.Reason{
		target.NoTarget: dedup.ConnectionLost, target.DialFailed: dedup.ConnectionLost, target.ResetBeforeWrite: dedup.ConnectionLost,
		target.ResetAfterWrite: dedup.ConnectionLost, target.TimedOut: dedup.Timeout, target.FirstByteTimeout: dedup.Timeout,
		target.ForeignResponse: dedup.ConnectionLost, target.Refused: dedup.ConnectionLost, target.Canceled: dedup.Canceled, target.TooLarge: dedup.BodyTooLarge,
	}
	notRunReasons = map[target.ErrorKind]dedup.Reason{
		target.NoTarget: dedup.NoTarget, target.DialFailed: dedup.DialFailed, target.ResetBeforeWrite: dedup.DialFailed,
		target.ResetAfterWrite: dedup.DialFailed, target.TimedOut: dedup.DialFailed, target.FirstByteTimeout: dedup.DialFailed,
		target.Refused: dedup.TargetRefused, target.Canceled: dedup.Canceled, target.TooLarge: dedup.BodyTooLarge,
	}
)

const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBufferSize]byte) }}

// passResponse writes the response of the target to the caller. If the response of the target ends early, passResponse
// closes the connection to the caller without ending the body, so that the caller does not mistake the response for
// complete.
func (rq *request) passResponse(ctx context.Context, res *target.Response) {
	defer res.Body.Close()
	// A wait for the link ends when the caller disconnects, even if the rest of the response is still read to be stored.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(rq.r.Context(), cancel)()
	hd := rq.w.Header()
	for name, vals := range res.Header {
		hd[name] = vals
	}
	hd[headerOutcome] = []string{string(dedup.Done)}
	hd[headerRequest] = []string{string(rq.id)}
	for name := range res.Trailer {
		hd.Add("Trailer", name)
	}
	cp := &responseCopy{rq: rq, res: res, storing: rq.claim != nil, ctx: ctx}
	// The table of requests keeps the header, so it needs its own copy: the server modifies the original.
	if cp.storing {
		cp.header = res.Header.Clone()
	}
	cp.takeBytes(headerBytes(hd))
	announceClose(rq.w, rq.r)
	rq.w.WriteHeader(res.Status)
	if err := cp.copy(); err != nil {
		rq.finish(unknown(dedup.ConnectionLost).response())
		rq.abort()
	}
	for name, vals := range res.Trailer {
		hd[http.TrailerPrefix+name] = vals
	}
	rq.finish(cp.response())
	if cp.callerGone {
		rq.abort()
	}
}

// abort closes the connection to the caller. It does not return.
func (rq *request) abort() {
	rq.aborted = true
	inbound.BreakOff(rq.r)
}

// responseCopy is the state of copying a response from a target to the caller.
type responseCopy struct {
	rq            *request
	res           *target.Response
	ctx           context.Context // ends waits for the link
	header        http.Header
	body          []byte
	storing       bool // the response is kept for duplicates
	callerGone    bool // the caller receives no more of the response
	total         int64
	deadlineSetAt time.Time
}

// copy passes the body of the response to the caller and keeps it for duplicates. It stops early if neither needs the
// rest. The error is a failure to read from the target.
func (cp *responseCopy) copy() error {
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	if cp.res.ContentLength < 0 {
		cp.flush()
	}
	for {
		num, err := cp.res.Body.Read(buf[:])
		if num > 0 {
			cp.store(buf[:num])
			cp.send(buf[:num])
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case cp.callerGone && !cp.storing:
			return nil
		}
	}
}

// store appends the chunk to the stored body, or gives up storing if the body becomes too large.
func (cp *responseCopy) store(chunk []byte) {
	if !cp.storing {
		return
	}
	if len(cp.body)+len(chunk) > dedup.MaxStoredBody {
		cp.storing, cp.body = false, nil
		return
	}
	cp.body = append(cp.body, chunk...)
}

// takeBytes takes num bytes of the link capacity. If they are not available in time, the caller gets no more of the
// response.
func (cp *responseCopy) takeBytes(num int) {
	if cp.callerGone {
		return
	}
	if _, err := cp.rq.downlink.takeBytes(cp.ctx, num); err != nil {
		cp.callerGone = true
	}
}

// send writes src to the caller in chunks, as fast as the link permits.
func (cp *responseCopy) send(src []byte) {
	for len(src) > 0 && !cp.callerGone {
		num := min(len(src), cp.rq.downlink.chunkSize())
		cp.takeBytes(num)
		cp.write(src[:num])
		src = src[num:]
	}
}

func (cp *responseCopy) write(chunk []byte) {
	if cp.callerGone {
		return
	}
	window := cp.rq.sv.op.ProgressWindow
	if now := time.Now(); now.Sub(cp.deadlineSetAt) > window/4 {
		cp.deadlineSetAt = now
		cp.rq.rc.SetWriteDeadline(now.Add(window)) //nolint:errcheck // only connections of tests have no deadlines
	}
	cp.total += int64(len(chunk))
	if _, err := cp.rq.w.Write(chunk); err != nil {
		cp.callerGone = true
		return
	}
	if cp.total != cp.res.ContentLength && len(chunk) < copyBufferSize {
		cp.flush()
	}
}

// flush sends the data written so far to the caller, because the rest may take a long time.
func (cp *responseCopy) flush() {
	if !cp.callerGone && cp.rq.rc.Flush() != nil {
		cp.callerGone = true
	}
}

func (cp *responseCopy) response() dedup.Response {
	rs := dedup.Response{Outcome: dedup.Done, Status: cp.res.Status}
	if cp.storing {
		rs.Stored, rs.Header, rs.Body, rs.Trailer = true, cp.header, cp.body, cp.res.Trailer
	}
	return rs
}
