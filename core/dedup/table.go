package dedup

import (
	"container/heap"
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// maxClockDifference is the assumed maximum difference between the clocks of two VMs.
	maxClockDifference    = 5 * time.Second
	defaultTicketLife     = 6 * time.Second
	defaultLongestRequest = 10 * time.Minute
	// defaultStoredBytes is the default total size of stored responses. Without this limit, a full table of responses with
	// MaxStoredBody bytes each would not fit in the memory of a small VM.
	defaultStoredBytes = 16 << 20
)

// Table holds the tickets that one process has received, with the responses to their requests. Create it with NewTable. It is
// safe for concurrent use.
//
// The table has its own clock, which never goes back. The clock starts at the time of the first call and advances with the
// monotonic clock. A backward step of the wall clock therefore cannot make an expired ticket valid again after the table has
// forgotten it. The table's clock follows forward steps of the wall clock, because the monotonic clock stops while a machine is
// suspended. If it did not, the VM would afterwards reject new tickets, because they would seem to expire too far in the future.
type Table struct {
	self id.VMIncarnation
	size int

	mu             sync.Mutex
	ticketLife     time.Duration
	longestRequest time.Duration
	maxStoredBytes int
	storedBytes    int
	anchor         time.Time // time of the first call, with its monotonic reading
	clock          time.Time // the table's own clock
	entries        map[id.Request]*entry
	forgetQueue    entryHeap
}

type entry struct {
	request     id.Request
	fingerprint uint64
	forgetAt    time.Time
	queued      bool // in forgetQueue
	finished    bool
	done        chan struct{} // closed when the request has finished
	owner       string
	response    Response
	bytes       int // size of the stored response
}

// NewTable returns an empty table of the process self. It holds at most size tickets at a time; Begin rejects further ones.
func NewTable(self id.VMIncarnation, size int) *Table {
	return &Table{
		self: self, size: size, ticketLife: defaultTicketLife, longestRequest: defaultLongestRequest,
		maxStoredBytes: defaultStoredBytes, entries: make(map[id.Request]*entry),
	}
}

// SetLimits sets the maximum lifetime of a ticket and the maximum duration of a request. Tickets that are already in the table
// keep the time at which they are forgotten.
func (tb *Table) SetLimits(ticketLife, longestRequest time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.ticketLife, tb.longestRequest = ticketLife, longestRequest
}

// SetStoredBytes sets the maximum total size of stored responses in bytes. Responses that would exceed it are not stored.
func (tb *Table) SetStoredBytes(n int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.maxStoredBytes = n
}

// Decision is the result of Begin: a *Claim, a *Duplicate or a Reject.
type Decision interface{ decision() }

// Claim permits the caller of Begin to run the request. The caller must call Finish.
type Claim struct {
	tb *Table
	en *entry
}

// Duplicate means that the table already contains the ticket of the request. It gives access to the response of the first
// request.
type Duplicate struct {
	tb *Table
	en *entry
}

// Reject means that the ticket is not accepted. The outcome is Unknown, because this process cannot tell whether the work ran.
type Reject struct{ Reason Reason }

func (*Claim) decision()     {}
func (*Duplicate) decision() {}
func (Reject) decision()     {}

// Begin decides whether a request with the ticket may run. The fingerprint is a hash of the request. If the table contains the
// ticket with another fingerprint, Begin rejects it, because the stored response belongs to another request.
func (tb *Table) Begin(now time.Time, tk Ticket, fingerprint uint64) Decision {
	if tk.Process.VM != tb.self.VM {
		return Reject{Reason: WrongVM}
	}
	if tk.Process.Incarnation != tb.self.Incarnation {
		return Reject{Reason: EarlierIncarnation}
	}
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.advance(now)
	if en, ok := tb.entries[tk.Request]; ok {
		if en.fingerprint != fingerprint {
			return Reject{Reason: TicketReused}
		}
		return &Duplicate{tb: tb, en: en}
	}
	switch left := tk.Expiry.Sub(tb.clock); {
	case left <= 0:
		return Reject{Reason: TicketExpired}
	case left > tb.ticketLife+maxClockDifference:
		return Reject{Reason: BadTicket}
	case len(tb.entries) >= tb.size:
		return Reject{Reason: TableFull}
	}
	en := &entry{
		request: tk.Request, fingerprint: fingerprint, done: make(chan struct{}),
		forgetAt: tk.Expiry.Add(tb.longestRequest),
	}
	tb.entries[tk.Request] = en
	tb.enqueue(en)
	return &Claim{tb: tb, en: en}
}

// Expire removes the tickets that are due to be forgotten. Begin and Finish do so too. Regular calls of Expire free the memory
// while no requests arrive.
func (tb *Table) Expire(now time.Time) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.advance(now)
}

// Len returns the number of tickets in the table.
func (tb *Table) Len() int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return len(tb.entries)
}

// advance moves the table's clock forward and removes the tickets that are due to be forgotten. A ticket whose request is still
// running stays in the table, but leaves the queue. Finish queues it again.
func (tb *Table) advance(now time.Time) {
	if tb.anchor.IsZero() {
		tb.anchor = now
	}
	for _, at := range [2]time.Time{tb.anchor.Add(now.Sub(tb.anchor)).Round(0), now.Round(0)} {
		if at.After(tb.clock) {
			tb.clock = at
		}
	}
	for len(tb.forgetQueue) > 0 && !tb.forgetQueue[0].forgetAt.After(tb.clock) {
		en := heap.Pop(&tb.forgetQueue).(*entry)
		en.queued = false
		if en.finished {
			tb.forget(en)
		}
	}
}

func (tb *Table) enqueue(en *entry) {
	en.queued = true
	heap.Push(&tb.forgetQueue, en)
}

func (tb *Table) forget(en *entry) {
	tb.storedBytes -= en.bytes
	delete(tb.entries, en.request)
}

// SetOwner records who may receive the response, for example the team. The default is the empty string.
func (cl *Claim) SetOwner(owner string) {
	cl.tb.mu.Lock()
	defer cl.tb.mu.Unlock()
	cl.en.owner = owner
}

// Finish stores the response and closes the Done channel of the duplicates. Only the first call has an effect. The header, body
// and trailer are dropped if the response is incomplete or exceeds one of the size limits.
func (cl *Claim) Finish(now time.Time, rs Response) {
	tb, en := cl.tb, cl.en
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.advance(now)
	if en.finished {
		return
	}
	if size := rs.size(); rs.Stored && len(rs.Body) <= MaxStoredBody && tb.storedBytes+size <= tb.maxStoredBytes {
		en.bytes = size
		tb.storedBytes += size
	} else {
		rs.Header, rs.Body, rs.Trailer, rs.Stored = nil, nil, nil, false
	}
	en.response, en.finished = rs, true
	close(en.done)
	if !en.queued {
		// The request ran longer than the ticket had to be kept. Duplicates that were sent meanwhile may still arrive.
		en.forgetAt = tb.clock.Add(maxClockDifference)
		tb.enqueue(en)
	}
}

// Done returns a channel that is closed when the first request has finished.
func (dp *Duplicate) Done() <-chan struct{} { return dp.en.done }

// Result returns the owner and the response of the first request. It must not be called before the Done channel is closed.
func (dp *Duplicate) Result() (string, Response) {
	dp.tb.mu.Lock()
	defer dp.tb.mu.Unlock()
	return dp.en.owner, dp.en.response
}

// entryHeap is a heap of entries, ordered by the time at which they are forgotten.
type entryHeap []*entry

func (eh entryHeap) Len() int           { return len(eh) }
func (eh entryHeap) Less(i, j int) bool { return eh[i].forgetAt.Before(eh[j].forgetAt) }
func (eh entryHeap) Swap(i, j int)      { eh[i], eh[j] = eh[j], eh[i] }

// Push implements heap.Interface.
func (eh *entryHeap) Push(x any) { *eh = append(*eh, x.(*entry)) }

// Pop implements heap.Interface.
func (eh *entryHeap) Pop() any {
	old := *eh
	en := old[len(old)-1]
	old[len(old)-1] = nil
	*eh = old[:len(old)-1]
	return en
}
