package peer

import (
	"context"
	"sync"
	"time"

	"damasklatch/core/membership"
	"damasklatch/io/peer/peerpb"
)

// Job is a call that the Sender makes: *ExchangeJob or *BorrowJob.
type Job interface{ isJob() }

// ExchangeJob sends a digest to a VM.
type ExchangeJob struct {
	To     membership.Entry
	Digest *peerpb.Digest
}

// BorrowJob sends a request for loans to a VM.
type BorrowJob struct {
	To      membership.Entry
	Request *peerpb.BorrowRequest
}

func (*ExchangeJob) isJob() {}
func (*BorrowJob) isJob()   {}

// Result is the result of a Job: *ExchangeResult or *BorrowResult.
type Result interface{ isResult() }

// ExchangeResult holds the reply to an ExchangeJob or the error of the call.
type ExchangeResult struct {
	Job    *ExchangeJob
	SentAt time.Time // time just before the request was sent
	Reply  *peerpb.Digest
	Err    error
}

// BorrowResult holds the reply to a BorrowJob or the error of the call.
type BorrowResult struct {
	Job   *BorrowJob
	Reply *peerpb.BorrowReply
	Err   error
}

func (*ExchangeResult) isResult() {}
func (*BorrowResult) isResult()   {}

// Sizes of the Sender. A call to a failure domain that is cut off occupies a worker for callTimeout, so there are more
// workers than calls in a digest round. If the queue is full, jobs are dropped; the next digest round sends new ones.
const (
	senderWorkers = 8
	senderQueue   = 64
)

// Sender makes calls for the control goroutine, which must not wait for the network.
type Sender struct {
	cs   *Clients
	jobs chan Job
	done func(Result)
	wg   sync.WaitGroup
}

// NewSender returns a Sender that calls done with every result. done is called from several goroutines.
func NewSender(cs *Clients, done func(Result)) *Sender {
	return &Sender{cs: cs, jobs: make(chan Job, senderQueue), done: done}
}

// Start starts the workers. They end when the context ends.
func (sn *Sender) Start(ctx context.Context) {
	for range senderWorkers {
		sn.wg.Add(1)
		go sn.runWorker(ctx)
	}
}

// Wait returns when all workers have ended.
func (sn *Sender) Wait() { sn.wg.Wait() }

// Submit queues a job. If the queue is full, it drops the job and returns false.
func (sn *Sender) Submit(jb Job) bool {
	select {
	case sn.jobs <- jb:
		return true
	default:
		return false
	}
}

func (sn *Sender) runWorker(ctx context.Context) {
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
		panic("peer: job of an unknown type") // Only this package can implement Job, so this is a bug here
	}
}
