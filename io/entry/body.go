package entry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"damasklatch/io/target"
)

// minProgressBytes is the number of bytes of a body that a caller must send within a progress window. It prevents callers
// that send single bytes at long intervals from holding slots.
const minProgressBytes = 4 << 10

var errBodyClosed = errors.New("request has ended")

// callerBody reads the request body of a caller. It limits the size, sets a read deadline for each progress window, and
// counts the bytes against the link that the body crosses.
type callerBody struct {
	src            io.Reader
	rc             *http.ResponseController
	progressWindow time.Duration
	remaining      int64 // bytes until the size limit
	link           *linkUse
	ctx            context.Context // ends waits for the link; set before the body is read

	mu          sync.Mutex
	windowBytes int // bytes read in the current progress window
	deadlineSet bool
	closed      bool
	eof         bool
}

// Read implements io.Reader. It returns target.ErrTooLarge if the body is larger than allowed.
func (cb *callerBody) Read(buf []byte) (int, error) {
	if err := cb.startWindow(); err != nil {
		return 0, err
	}
	num, err := cb.src.Read(buf[:min(len(buf), cb.link.chunkSize())])
	cb.recordRead(num, err)
	if int64(num) > cb.remaining {
		return 0, target.ErrTooLarge
	}
	cb.remaining -= int64(num)
	waited, payErr := cb.link.takeBytes(cb.ctx, num)
	if payErr != nil {
		return 0, payErr
	}
	if waited {
		cb.endWindow()
	}
	return num, err
}

// endWindow makes the next read start a new progress window, so that time spent waiting for the link does not count
// against the caller.
func (cb *callerBody) endWindow() {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	cb.deadlineSet = false
}

// startWindow starts a progress window and sets its read deadline, if none has begun or the caller has sent enough in the
// current one.
func (cb *callerBody) startWindow() error {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	if cb.closed {
		return errBodyClosed
	}
	if !cb.deadlineSet || cb.windowBytes >= minProgressBytes {
		cb.deadlineSet, cb.windowBytes = true, 0
		return cb.rc.SetReadDeadline(time.Now().Add(cb.progressWindow))
	}
	return nil
}

func (cb *callerBody) recordRead(num int, err error) {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	cb.windowBytes += num
	if errors.Is(err, io.EOF) && !cb.closed {
		cb.eof = true
		// net/http now reads from the connection to detect that the caller closes it. An expired deadline would look
		// like such a close.
		cb.rc.SetReadDeadline(time.Time{}) //nolint:errcheck // only connections of tests have no deadlines
	}
}

// abort makes a read that is in progress fail.
func (cb *callerBody) abort() { cb.setReadDeadline(time.Unix(1, 0)) }

// limitRestTime limits the time for the rest of the body. net/http reads the rest before it responds, and a caller that
// sends nothing must not delay the response.
func (cb *callerBody) limitRestTime() { cb.setReadDeadline(time.Now().Add(maxDiscardTime)) }

func (cb *callerBody) setReadDeadline(at time.Time) {
	cb.mu.Lock()
	defer cb.mu.Unlock()
	if !cb.eof && !cb.closed {
		cb.rc.SetReadDeadline(at) //nolint:errcheck // only connections of tests have no deadlines
	}
}

const (
	// A caller that is still sending when the response is complete may not read the response until the rest of its body
	// was read. maxDiscardBytes and maxDiscardTime limit how much of the rest is read.
	maxDiscardBytes = 256 << 10
	maxDiscardTime  = time.Second
)

// end makes further calls of Read fail. If the request was not aborted, it reads and discards a short rest of the body.
func (cb *callerBody) end(aborted bool) {
	cb.mu.Lock()
	rest := !cb.closed && !cb.eof
	cb.closed = true
	if rest {
		cb.rc.SetReadDeadline(time.Now().Add(maxDiscardTime)) //nolint:errcheck // only connections of tests have no deadlines
	}
	cb.mu.Unlock()
	if rest && !aborted && cb.rc.Flush() == nil {
		cb.discardRest()
	}
}

// discardRest reads and discards the rest of the body as far as the link has capacity. Beyond that, an expired read
// deadline stops net/http from reading more. The first smallMessageBytes do not count against the link, because they have
// already arrived; so a small request that was refused does not wait.
func (cb *callerBody) discardRest() {
	ctx, cancel := context.WithTimeout(context.Background(), maxDiscardTime)
	defer cancel()
	buf := copyBuffers.Get().(*[copyBufferSize]byte)
	defer copyBuffers.Put(buf)
	for sum := 0; sum < maxDiscardBytes; {
		num, err := cb.src.Read(buf[:min(max(cb.link.chunkSize(), smallMessageBytes-sum), maxDiscardBytes-sum)])
		sum += num
		if err != nil {
			return
		}
		if _, err := cb.link.takeBytes(ctx, min(num, sum-smallMessageBytes)); err != nil {
			cb.rc.SetReadDeadline(time.Unix(1, 0)) //nolint:errcheck // only connections of tests have no deadlines
			return
		}
	}
}
