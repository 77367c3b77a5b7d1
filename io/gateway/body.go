package gateway

import (
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/pkg/errors"

	"damasklatch/core/memory"
)

const (
	// maxBufferedBody is the largest request body, in bytes, that is buffered. A buffered body can be sent again to another
	// target.
	maxBufferedBody = 512 << 10
	// firstBodyBuffer is the size of the first buffer for a body. It doubles as long as the caller sends more.
	firstBodyBuffer = 16 << 10
	// bodyMemoryFraction is the part of the process's memory limit that buffered bodies may use.
	bodyMemoryFraction = 0.25
	// defaultBodyMemory is the size in bytes of the budget without a memory limit.
	defaultBodyMemory = 256 << 20
)

// newBodyMemory returns the budget for buffered bodies of a process with a memory limit in bytes, zero if it has none.
func newBodyMemory(limit int64) *memory.Budget {
	if limit <= 0 {
		return memory.NewBudget(defaultBodyMemory)
	}
	return memory.NewBudget(int64(bodyMemoryFraction * float64(limit)))
}

// errNoMemory means that the budget for bodies has no room for the body of a request.
var errNoMemory = errors.New("no memory for the body")

// bodyBuffer holds the beginning of a body, and the memory for it in a budget.
type bodyBuffer struct {
	budget *memory.Budget
	holder memory.Holder
	taken  int64
	data   []byte
}

// readFrom reads until the end of the source or until the buffer has most bytes.
func (bb *bodyBuffer) readFrom(src io.Reader, most int) error {
	for len(bb.data) < most {
		if err := bb.grow(most); err != nil {
			return err
		}
		num, err := src.Read(bb.data[len(bb.data):min(cap(bb.data), most)])
		bb.data = bb.data[:len(bb.data)+num]
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// grow makes room for at least one more byte.
func (bb *bodyBuffer) grow(most int) error {
	if len(bb.data) < cap(bb.data) {
		return nil
	}
	size := min(max(2*cap(bb.data), firstBodyBuffer), most)
	if !bb.budget.Take(bb.holder, int64(size)-bb.taken) {
		return errNoMemory
	}
	bb.taken = int64(size)
	next := make([]byte, len(bb.data), size)
	copy(next, bb.data)
	bb.data = next
	return nil
}

// release gives the memory back.
func (bb *bodyBuffer) release() {
	if bb.taken > 0 {
		bb.budget.Release(bb.holder, bb.taken)
		bb.taken = 0
	}
}

// holderOf returns the caller's address, on behalf of which memory is held.
func holderOf(r *http.Request) memory.Holder {
	address, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return memory.Holder(r.RemoteAddr) // not the address of a socket
	}
	return memory.Holder(address)
}

// readBody reads the body up to maxBufferedBody bytes. A larger body is left in stream.
func (rq *request) readBody(limit time.Duration) *refusal {
	if rq.r.ContentLength == 0 {
		return nil
	}
	// Setting the deadline fails only for the response writers of tests.
	_ = http.NewResponseController(rq.rw).SetReadDeadline(rq.started.Add(limit))
	src := io.Reader(rq.r.Body)
	if most := rq.table.Config.Limits.MaxBodyBytes; most > 0 {
		src = http.MaxBytesReader(rq.rw, rq.r.Body, most)
	}
	rq.buffer = bodyBuffer{budget: rq.sv.bodies, holder: holderOf(rq.r)}
	most := maxBufferedBody
	if size := rq.r.ContentLength; size > 0 {
		most = int(min(size, maxBufferedBody))
	}
	err := rq.buffer.readFrom(src, most)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return &refusal{reason: reasonBodyLarge}
	case errors.Is(err, errNoMemory):
		rq.rw.Header()["Connection"] = []string{"close"}
		return &refusal{reason: reasonMemory, retryAfter: memoryRetryAfter}
	case errors.Is(err, os.ErrDeadlineExceeded):
		rq.rw.Header()["Connection"] = []string{"close"}
		return &refusal{reason: reasonBodyLate}
	case err != nil:
		rq.rw.Header()["Connection"] = []string{"close"}
		return &refusal{reason: reasonBadRequest}
	}
	if rf := rq.checkFraming(); rf != nil {
		return rf
	}
	rq.body = rq.buffer.data
	num := int64(len(rq.body))
	rq.placement.Size = num
	rq.bodyRead = num < maxBufferedBody || rq.r.ContentLength == maxBufferedBody
	if !rq.bodyRead {
		rq.stream = io.MultiReader(rq.bodyReader(), src)
	}
	return nil
}
