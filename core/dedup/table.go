package dedup

import (
	"container/heap"
	"sync"
	"time"

	"damasklatch/core/id"
)

const (
	// maxClockDifference is the most by which the clocks of two VMs are assumed to differ.
	maxClockDifference    = 5 * time.Second
	defaultTicketLife     = 6 * time.Second
	defaultLongestRequest = 10 * time.Minute
	// defaultStoredBytes bounds the memory for stored responses. A full table of the largest bodies would not fit in
	// the memory of a small VM.
	defaultStoredBytes = 16 << 20
)

// Table is the at-most-once table of one process. It is safe for concurrent use.
//
// The table has a clock of its own that never goes back: it starts at the time of the first call and advances by the
// monotonic difference to it. A step of the wall clock therefore cannot revive a ticket whose id was forgotten. If the
// wall clock steps forward, the clock follows: the monotonic clock stands still while a machine is suspended, and a VM
// would otherwise take the tickets of all others for too far in the future from then on.
type Table struct {
	self id.VMIncarnation
	size int

	mu             sync.Mutex
	ticketLife     time.Duration
	longestRequest time.Duration
	maxStoredBytes int
	storedBytes    int
	anchor         time.Time
	clock          time.Time
	entries        map[id.Request]*entry
	forgetQueue    entryHeap
}

type entry struct {
	request     id.Request
	fingerprint uint64
	forgetAt    time.Time
	queued      bool
	finished    bool
	done        chan struct{}
	owner       string
	response    Response
	bytes       int
}

// NewTable returns the table of the process self for at most size tickets at a time.
func NewTable(self id.VMIncarnation, size int) *Table {
	return &Table{
		self: self, size: size, ticketLife: defaultTicketLife, longestRequest: defaultLongestRequest, maxStoredBytes: defaultStoredBytes,
		entries: make(map[id.Request]*entry),
	}
}

// SetLimits sets the longest life of a ticket and the duration of the longest request. Tickets that the table already
// holds keep the time at which they are forgotten.
func (tb *Table) SetLimits(ticketLife, longestRequest time.Duration) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.ticketLife, tb.longestRequest = ticketLife, longestRequest
}

// SetStoredBytes sets the total size of stored responses beyond which further ones are not kept.
func (tb *Table) SetStoredBytes(n int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.maxStoredBytes = n
}

// Decision is what the table decides about a request: *Claim, *Duplicate or Reject.
type Decision interface{ decision() }

// Claim permits the caller of Begin to run the request. It must call Finish.
type Claim struct {
	tb *Table
	en *entry
}

// Duplicate stands for a request with a ticket that the table holds.
type Duplicate struct {
	tb *Table
	en *entry
}

// Reject refuses a ticket with outcome unknown: this process cannot tell whether the work ran.
type Reject struct{ Reason Reason }

func (*Claim) decision()     {}
func (*Duplicate) decision() {}
func (Reject) decision()     {}

// Begin decides about a request with the ticket. The fingerprint stands for what is requested: a ticket that comes
// again with another fingerprint is rejected, because the stored response belongs to another request.
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

// Expire forgets the tickets whose time has come. Begin does so too; calling Expire now and then frees their memory
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

// advance moves the clock of the table and forgets what has expired.
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

// SetOwner notes who may receive the response, for example the team. Without a call the owner is empty.
func (cl *Claim) SetOwner(owner string) {
	cl.tb.mu.Lock()
	defer cl.tb.mu.Unlock()
	cl.en.owner = owner
}

// Finish stores the response and releases the duplicates that wait. The first call counts.
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
		// The request outlasted its time in the table. Duplicates that were sent meanwhile may still arrive.
		en.forgetAt = tb.clock.Add(maxClockDifference)
		tb.enqueue(en)
	}
}

// Done returns a channel that is closed when the first request has finished.
func (dp *Duplicate) Done() <-chan struct{} { return dp.en.done }

// Result returns the owner that the first request set, and its response. It may be called when Done is closed.
func (dp *Duplicate) Result() (string, Response) {
	dp.tb.mu.Lock()
	defer dp.tb.mu.Unlock()
	return dp.en.owner, dp.en.response
}

// entryHeap orders entries by the time at which they are forgotten.
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
