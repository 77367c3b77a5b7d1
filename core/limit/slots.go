package limit

import (
	"sync"

	"damasklatch/core/unit"
)

// Slots limits how many slots of a resource are in use at the same time in this VM. The zero value has no slots. It
// is safe for concurrent use.
type Slots struct {
	mu       sync.Mutex
	limit    unit.Milli
	inFlight unit.Milli
	admitted unit.Milli
	refused  unit.Milli
}

// Acquire takes one slot and reports whether one was free. Each successful call must be followed by one call of
// Release. The slot stays taken until then, even if the limit shrinks.
func (sl *Slots) Acquire() bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.inFlight+unit.One > sl.limit {
		sl.refused += unit.One
		return false
	}
	sl.inFlight += unit.One
	sl.admitted += unit.One
	return true
}

// Release returns a slot. It panics without a matching Acquire, because the limit would no longer be enforced.
func (sl *Slots) Release() {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	if sl.inFlight < unit.One {
		panic("limit: Release without Acquire")
	}
	sl.inFlight -= unit.One
}

// Free returns the number of whole slots that Acquire could take now.
func (sl *Slots) Free() int {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return int(max(sl.limit-sl.inFlight, 0) / unit.One)
}

func (sl *Slots) setLimit(limit unit.Milli) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	sl.limit = limit
}

func (sl *Slots) idle() bool {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.inFlight == 0
}

func (sl *Slots) status() (limit, inFlight, admitted, refused unit.Milli) {
	sl.mu.Lock()
	defer sl.mu.Unlock()
	return sl.limit, sl.inFlight, sl.admitted, sl.refused
}
