package target

import (
	"io"
	"net/http"
	"sync"
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
func (up *requestBody) Read(buf []byte) (int, error) {
	if up.src == nil {
		return 0, io.EOF
	}
	up.mu.Lock()
	if up.stopped {
		up.mu.Unlock()
		return 0, errAttemptEnded
	}
	up.readStarted = true
	up.mu.Unlock()
	num, err := up.src.Read(buf)
	switch {
	case err == io.EOF:
		if !up.ended {
			up.ended = true
			up.onEnd()
		}
	case err != nil:
		up.mu.Lock()
		up.err = err
		up.mu.Unlock()
	}
	return num, err
}

// Close implements io.Closer. It leaves src open, because src belongs to the caller of Do.
func (up *requestBody) Close() error { return nil }

// stop makes further reads fail and reports whether src may have been read. It is needed because net/http may continue
// to read the body of an attempt that has ended.
func (up *requestBody) stop() bool {
	up.mu.Lock()
	defer up.mu.Unlock()
	up.stopped = true
	return up.readStarted
}

func (up *requestBody) state() (touched bool, err error) {
	up.mu.Lock()
	defer up.mu.Unlock()
	return up.readStarted, up.err
}

// responseBody is the body of a response. It calls onEnd once: when the body was read to its end, a read failed, or the
// body was closed.
type responseBody struct {
	body  io.ReadCloser
	once  sync.Once
	onEnd func(err error) // nil at the end of a complete body
}

// Read implements io.Reader.
func (dl *responseBody) Read(buf []byte) (int, error) {
	num, err := dl.body.Read(buf)
	switch {
	case err == io.EOF:
		dl.once.Do(func() { dl.onEnd(nil) })
	case err != nil:
		dl.once.Do(func() { dl.onEnd(err) })
	}
	return num, err
}

// Close closes the body, and also the connection if the body was not read to its end.
func (dl *responseBody) Close() error {
	err := dl.body.Close()
	dl.once.Do(func() { dl.onEnd(http.ErrBodyReadAfterClose) })
	return err
}
