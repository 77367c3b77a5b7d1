package asynclog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queueSize is the maximum number of lines that wait for the output.
	queueSize = 1024
	// MaxLinesPerSecond is the maximum number of lines accepted each second. It applies separately to lines of requests and to
	// all other lines.
	MaxLinesPerSecond = 200
)

// Writer is an io.Writer for a log handler. Each call of Write must pass one whole line. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	start   time.Time
	done    chan struct{}

	requests, others rateLimit
}

// rateLimit counts the lines of the current second.
type rateLimit struct {
	second, count atomic.Int64
}

// allow counts a line and reports whether it is within the limit. The second is counted from the creation of the Writer.
func (vl *rateLimit) allow(second int64) bool {
	if have := vl.second.Load(); have != second && vl.second.CompareAndSwap(have, second) {
		vl.count.Store(0)
	}
	return vl.count.Add(1) <= MaxLinesPerSecond
}

// New returns a Writer to out. Lines are queued until Run is called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queueSize), start: time.Now(), done: make(chan struct{})}
}

// Write queues a line, or drops it if the queue is full or the rate is exceeded. It never returns an error.
func (wr *Writer) Write(line []byte) (int, error) { return wr.queue(line, &wr.others) }

// RequestWriter returns the writer for log lines of requests. Its rate is limited separately, so that a flood of requests doesn't
// use up the rate of the other lines.
func (wr *Writer) RequestWriter() io.Writer { return requestWriter{wr} }

type requestWriter struct{ wr *Writer }

func (rq requestWriter) Write(line []byte) (int, error) { return rq.wr.queue(line, &rq.wr.requests) }

func (wr *Writer) queue(line []byte, vl *rateLimit) (int, error) {
	if !vl.allow(int64(time.Since(wr.start) / time.Second)) {
		wr.dropped.Add(1)
		return len(line), nil
	}
	select {
	case wr.lines <- append([]byte(nil), line...):
	default:
		wr.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the creation of the Writer, including lines that the output failed to write.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// reportInterval is the minimum interval between log lines that report the number of dropped lines.
const reportInterval = time.Second

// Run writes lines until the context is canceled. It then writes the lines that are still queued and returns. It must be called
// once.
func (wr *Writer) Run(ctx context.Context) {
	defer close(wr.done)
	tick := time.NewTicker(reportInterval)
	defer tick.Stop()
	var reported int64
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		case <-tick.C:
			reported = wr.report(reported)
		case <-ctx.Done():
			wr.flush()
			wr.report(reported)
			return
		}
	}
}

// report writes a line with the number of lines dropped since the last report, if there are any. It takes the total of the last
// report and returns the new one.
func (wr *Writer) report(reported int64) int64 {
	now := wr.dropped.Load()
	if now > reported {
		wr.write(fmt.Appendf(nil, `{"level":"WARN","msg":"log lines were dropped","count":%d}`+"\n", now-reported))
	}
	return now
}

// Wait blocks until Run has returned.
func (wr *Writer) Wait() { <-wr.done }

func (wr *Writer) flush() {
	for {
		select {
		case line := <-wr.lines:
			wr.write(line)
		default:
			return
		}
	}
}

// write writes a line to the output, and counts it as dropped if that fails.
func (wr *Writer) write(line []byte) {
	if _, err := wr.out.Write(line); err != nil {
		wr.dropped.Add(1)
	}
}
