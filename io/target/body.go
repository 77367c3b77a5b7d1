package target

import (
	"io"
	"net/http"
	"sync"

	"damasklatch/io/httpframe"
)

// requestBody is the request body of one attempt. A request always has one, and sets no GetBody: with a nil body,
// http.NoBody or GetBody, net/http would retry a GET, or any request with an Idempotency-Key, when a reused connection
// breaks.
type requestBody struct {
	src   io.Reader // nil for an empty body
	onEnd func()    // called at the end of the body, before the trailer is sent
	ended bool

	mu          sync.Mutex
	readStarted bool // bytes may have been read from src
	stopped     bool
	err         error // first error of src other than io.EOF
}

// Read implements io.Reader.
func (rb *requestBody) Read(buf []byte) (int, error) {
	if rb.src == nil {
		return 0, io.EOF
	}
	rb.mu.Lock()
	if rb.stopped {
		rb.mu.Unlock()
		return 0, errAttemptEnded
	}
	rb.readStarted = true
	rb.mu.Unlock()
	num, err := rb.src.Read(buf)
	switch {
	case err == io.EOF:
		if !rb.ended {
			rb.ended = true
			rb.onEnd()
		}
	case err != nil:
		rb.mu.Lock()
		rb.err = err
		rb.mu.Unlock()
	}
	return num, err
}

// Close implements io.Closer. It leaves src open, because src belongs to the caller of Do.
func (rb *requestBody) Close() error { return nil }

// stop makes further reads fail and reports whether src may have been read. It is needed because net/http may continue
// to read the body of an attempt that has ended.
func (rb *requestBody) stop() bool {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	rb.stopped = true
	return rb.readStarted
}

func (rb *requestBody) state() (readStarted bool, err error) {
	rb.mu.Lock()
	defer rb.mu.Unlock()
	return rb.readStarted, rb.err
}

// responseBody is the body of a response. It calls onEnd once: when the body was read to its end, a read failed, or the
// body was closed.
type responseBody struct {
	body  io.ReadCloser
	once  sync.Once
	onEnd func(err error) // err is nil if the body was read to its end
}

// Read implements io.Reader.
func (rb *responseBody) Read(buf []byte) (int, error) {
	num, err := rb.body.Read(buf)
	switch {
	case err == io.EOF:
		rb.once.Do(func() { rb.onEnd(nil) })
	case err != nil:
		rb.once.Do(func() { rb.onEnd(err) })
	}
	return num, err
}

// Close closes the body, and also the connection if the body was not read to its end.
func (rb *responseBody) Close() error {
	err := rb.body.Close()
	rb.once.Do(func() { rb.onEnd(http.ErrBodyReadAfterClose) })
	return err
}

// checkedBody is the body of a response. Its errors tell whether the target sent something else than a valid body.
type checkedBody struct {
	io.ReadCloser
	cn *httpframe.Conn
}

// Read implements io.Reader.
func (cb *checkedBody) Read(buf []byte) (int, error) {
	num, err := cb.ReadCloser.Read(buf)
	return num, cb.cn.Explain(err)
}
