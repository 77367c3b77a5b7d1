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
	"damasklatch/io/target"
)

// defaultDeadline holds for a route without a deadline.
const defaultDeadline = 30 * time.Second

// buffer reads the body of idempotent work if it is small and its size is known, so that it can be sent again.
func (rq *request) buffer() error {
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
	// The read of the end lets the server watch the connection for its close.
	if _, err := rq.body.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	rq.buffered = buf
	return nil
}

// forward sends the request to a target and passes the response on.
func (rq *request) forward() {
	ctx, cancel := context.WithTimeout(context.Background(), rq.deadline())
	defer cancel()
	follow := context.AfterFunc(rq.r.Context(), cancel)
	defer follow()
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
		// Lets the response start before the caller has sent the whole body.
		rq.rc.EnableFullDuplex() //nolint:errcheck // not supported by a test's writer, which needs no streaming
		unblock := context.AfterFunc(ctx, rq.body.abort)
		defer unblock()
	}
	res, err := rq.sv.op.Targets.Do(ctx, tr)
	if err != nil {
		rq.fail(ctx, err)
		return
	}
	if rq.claim != nil {
		// The work has run. Its response is stored for a duplicate, also if this caller goes away now.
		follow()
	}
	rq.pass(ctx, res)
}

// fail responds to a request without the response of a target.
func (rq *request) fail(ctx context.Context, err error) {
	var te *target.Error
	if !errors.As(err, &te) {
		te = &target.Error{Kind: target.ResetAfterWrite, MayHaveRun: true}
	}
	if te.MayHaveRun {
		// A body that waits for its link until the deadline fails like one that the caller gave up.
		if te.Kind == target.Canceled && errors.Is(ctx.Err(), context.DeadlineExceeded) {
			rq.refuse(unknown(dedup.Timeout))
			return
		}
		rq.refuse(unknown(unknownReasons[te.Kind]))
		return
	}
	rq.refuse(notRun(notRunReasons[te.Kind]))
}

var (
	unknownReasons = map[target.ErrorKind]dedup.Reason{
		target.NoTarget: dedup.ConnectionLost, target.DialFailed: dedup.ConnectionLost, target.ResetBeforeWrite: dedup.ConnectionLost,
		target.ResetAfterWrite: dedup.ConnectionLost, target.TimedOut: dedup.Timeout, target.FirstByteTimeout: dedup.Timeout,
		target.Refused: dedup.ConnectionLost, target.Canceled: dedup.Canceled, target.TooLarge: dedup.BodyTooLarge,
	}
	notRunReasons = map[target.ErrorKind]dedup.Reason{
		target.NoTarget: dedup.NoTarget, target.DialFailed: dedup.DialFailed, target.ResetBeforeWrite: dedup.DialFailed,
		target.ResetAfterWrite: dedup.DialFailed, target.TimedOut: dedup.DialFailed, target.FirstByteTimeout: dedup.DialFailed,
		target.Refused: dedup.TargetRefused, target.Canceled: dedup.Canceled, target.TooLarge: dedup.BodyTooLarge,
	}
)

const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any { return new([copyBytes]byte) }}

// pass writes the response of the target to the caller. If the response breaks off, the connection to the caller is
// closed without an end of the body, so that the caller cannot take the part for the whole.
func (rq *request) pass(ctx context.Context, res *target.Response) {
	defer res.Body.Close()
	// A wait for the link ends when the caller goes away, also if the response is still read to be stored.
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
	ps := &passing{rq: rq, res: res, keep: rq.claim != nil, ctx: ctx}
	// A copy, as the table keeps it and the server changes its own.
	if ps.keep {
		ps.header = res.Header.Clone()
	}
	ps.pay(headerBytes(hd))
	rq.w.WriteHeader(res.Status)
	if err := ps.copy(); err != nil {
		rq.finish(unknown(dedup.ConnectionLost).response())
		rq.abort()
	}
	for name, vals := range res.Trailer {
		hd[http.TrailerPrefix+name] = vals
	}
	rq.finish(ps.response())
	if ps.gone {
		rq.abort()
	}
}

// abort closes the connection to the caller.
func (rq *request) abort() {
	rq.aborted = true
	panic(http.ErrAbortHandler)
}

// passing is the progress of a response on its way to the caller.
type passing struct {
	rq     *request
	res    *target.Response
	ctx    context.Context // ends a wait for the link
	header http.Header
	body   []byte
	keep   bool // the response is stored
	gone   bool // the caller takes no more
	total  int64
	armed  time.Time
}

// copy reads the body of the response to its end, or until nobody needs the rest. The error is that of the target.
func (ps *passing) copy() error {
	buf := copyBuffers.Get().(*[copyBytes]byte)
	defer copyBuffers.Put(buf)
	if ps.res.ContentLength < 0 {
		ps.flush()
	}
	for {
		num, err := ps.res.Body.Read(buf[:])
		if num > 0 {
			ps.store(buf[:num])
			ps.send(buf[:num])
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		case ps.gone && !ps.keep:
			return nil
		}
	}
}

func (ps *passing) store(part []byte) {
	if !ps.keep {
		return
	}
	if len(ps.body)+len(part) > dedup.MaxStoredBody {
		ps.keep, ps.body = false, nil
		return
	}
	ps.body = append(ps.body, part...)
}

// pay waits until the link has the bytes. A caller that they cannot reach in time gets no more.
func (ps *passing) pay(num int) {
	if ps.gone {
		return
	}
	if _, err := ps.rq.down.pay(ps.ctx, num); err != nil {
		ps.gone = true
	}
}

// send writes in parts, as the link has bytes.
func (ps *passing) send(src []byte) {
	for len(src) > 0 && !ps.gone {
		num := min(len(src), ps.rq.down.part())
		ps.pay(num)
		ps.write(src[:num])
		src = src[num:]
	}
}

func (ps *passing) write(part []byte) {
	if ps.gone {
		return
	}
	window := ps.rq.sv.op.ProgressWindow
	if now := time.Now(); now.Sub(ps.armed) > window/4 {
		ps.armed = now
		ps.rq.rc.SetWriteDeadline(now.Add(window)) //nolint:errcheck // a connection without deadlines is a test's
	}
	ps.total += int64(len(part))
	if _, err := ps.rq.w.Write(part); err != nil {
		ps.gone = true
		return
	}
	if ps.total != ps.res.ContentLength && len(part) < copyBytes {
		ps.flush()
	}
}

// flush sends what was written so far, as the rest may take long.
func (ps *passing) flush() {
	if !ps.gone && ps.rq.rc.Flush() != nil {
		ps.gone = true
	}
}

func (ps *passing) response() dedup.Response {
	rs := dedup.Response{Outcome: dedup.Done, Status: ps.res.Status}
	if ps.keep {
		rs.Stored, rs.Header, rs.Body, rs.Trailer = true, ps.header, ps.body, ps.res.Trailer
	}
	return rs
}
