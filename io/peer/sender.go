package peer

import (
	"context"
	"sync"
	"time"

	"damasklatch/core/member"
	"damasklatch/io/peer/peerpb"
)

// Job is a call that the sender performs: *ExchangeJob or *BorrowJob.
type Job interface{ isJob() }

// ExchangeJob sends a digest.
type ExchangeJob struct {
	To     member.Entry
	Digest *peerpb.Digest
}

// BorrowJob sends a request for loans.
type BorrowJob struct {
	To      member.Entry
	Request *peerpb.BorrowRequest
}

func (*ExchangeJob) isJob() {}
func (*BorrowJob) isJob()   {}

// Result is what became of a job: *ExchangeResult or *BorrowResult.
type Result interface{ isResult() }

// ExchangeResult holds the answer to an ExchangeJob.
type ExchangeResult struct {
	Job    *ExchangeJob
	SentAt time.Time // just before the request was sent
	Reply  *peerpb.Digest
	Err    error
}

// BorrowResult holds the answer to a BorrowJob.
type BorrowResult struct {
	Job   *BorrowJob
	Reply *peerpb.BorrowReply
	Err   error
}

func (*ExchangeResult) isResult() {}
func (*BorrowResult) isResult()   {}

// Sizes of the sender. A cut-off failure domain holds a worker for callTimeout, so there are more workers than calls in
// a digest round; a full queue drops jobs, which the next round repeats.
const (
	senderWorkers = 8
	senderQueue   = 64
)

// Sender performs calls for the control goroutine, which must not wait for the network.
type Sender struct {
	cs   *Clients
	jobs chan Job
	done func(Result)
	wg   sync.WaitGroup
}

// NewSender returns a sender that hands every result to done, from several goroutines.
func NewSender(cs *Clients, done func(Result)) *Sender {
	return &Sender{cs: cs, jobs: make(chan Job, senderQueue), done: done}
}

// Start starts the workers, which end with the context.
func (sn *Sender) Start(ctx context.Context) {
	for range senderWorkers {
		sn.wg.Add(1)
		go sn.loop(ctx)
	}
}

// Wait returns when all workers have ended.
func (sn *Sender) Wait() { sn.wg.Wait() }

// Submit queues a job. It returns false if the queue is full.
func (sn *Sender) Submit(jb Job) bool {
	select {
	case sn.jobs <- jb:
		return true
	default:
		return false
	}
}

func (sn *Sender) loop(ctx context.Context) {
	defer sn.wg.Done()
	for {
		select {
		case <-ctx.Done():
			return
		case jb := <-sn.jobs:
			sn.done(sn.perform(ctx, jb))
		}
	}
}

func (sn *Sender) perform(ctx context.Context, jb Job) Result {
	switch jb := jb.(type) {
	case *ExchangeJob:
		sent := time.Now()
		rp, err := sn.cs.Exchange(ctx, jb.To.PeerAddress, jb.Digest)
		return &ExchangeResult{Job: jb, SentAt: sent, Reply: rp, Err: err}
	case *BorrowJob:
		rp, err := sn.cs.Borrow(ctx, jb.To.PeerAddress, jb.Request)
		return &BorrowResult{Job: jb, Reply: rp, Err: err}
	default:
		panic("peer: job of an unknown type") // Job is sealed, so this is a fault of this package
	}
}
