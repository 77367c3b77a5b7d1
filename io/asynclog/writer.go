package asynclog

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

const (
	// queued lines wait for the output.
	queued = 1024
	// MaxLinesPerSecond bounds the lines of requests, and by itself the other lines.
	MaxLinesPerSecond = 200
)

// Writer is an io.Writer for a log handler, which writes a line in each call. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	start   time.Time
	done    chan struct{}

	requests, others volume
}

// volume counts the lines of the present second.
type volume struct {
	second, count atomic.Int64
}

// take reports whether another line is within the bound.
func (vl *volume) take(second int64) bool {
	if have := vl.second.Load(); have != second && vl.second.CompareAndSwap(have, second) {
		vl.count.Store(0)
	}
	return vl.count.Add(1) <= MaxLinesPerSecond
}

// New returns a writer. Nothing is written before Run.
func New(out io.Writer) *Writer {
	return &Writer{out: out, lines: make(chan []byte, queued), start: time.Now(), done: make(chan struct{})}
}

// Write queues a line, or drops it.
func (wr *Writer) Write(line []byte) (int, error) { return wr.queue(line, &wr.others) }

// RequestWriter returns the output for lines of requests. However many there are, they displace no other line.
func (wr *Writer) RequestWriter() io.Writer { return requests{wr} }

type requests struct{ wr *Writer }

func (rq requests) Write(line []byte) (int, error) { return rq.wr.queue(line, &rq.wr.requests) }

func (wr *Writer) queue(line []byte, vl *volume) (int, error) {
	if !vl.take(int64(time.Since(wr.start) / time.Second)) {
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

// Dropped returns the number of lines that were dropped.
func (wr *Writer) Dropped() int64 { return wr.dropped.Load() }

// reportEvery is the period of the lines that tell how many lines were dropped.
const reportEvery = time.Second

// Run writes the lines until the context ends, then those that are queued.
func (wr *Writer) Run(ctx context.Context) {
	defer close(wr.done)
	tick := time.NewTicker(reportEvery)
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

// report writes how many lines were dropped since the last report, and returns the new total.
func (wr *Writer) report(reported int64) int64 {
	now := wr.dropped.Load()
	if now > reported {
		wr.write(fmt.Appendf(nil, `{"level":"WARN","msg":"log lines were dropped","count":%d}`+"\n", now-reported))
	}
	return now
}

// Wait returns when Run has written the last line.
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

// write counts a line that the output does not take.
func (wr *Writer) write(line []byte) {
	if _, err := wr.out.Write(line); err != nil {
		wr.dropped.Add(1)
	}
}
