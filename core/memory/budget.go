package memory

import "sync"

// freeFraction is the part of a budget up to which each holder may take as much as it asks for.
const freeFraction = 0.5

// Holder names on whose behalf memory is held, for example the address of a caller.
type Holder string

// Budget is an amount of memory. It is safe for concurrent use.
type Budget struct {
	limit int64 // bytes

	mu      sync.Mutex
	used    int64
	holders map[Holder]int64 // bytes, of holders that have any
	refused int64
}

// NewBudget returns a budget of so many bytes, of which none are used.
func NewBudget(limit int64) *Budget { return &Budget{limit: limit, holders: map[Holder]int64{}} }

// Take takes bytes for a holder. It reports false and takes nothing if there are too few left, or if the holder has more than its
// share while more than half of the budget is used.
func (bg *Budget) Take(hd Holder, bytes int64) bool {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	if !bg.allows(hd, bytes) {
		bg.refused++
		return false
	}
	bg.used += bytes
	bg.holders[hd] += bytes
	return true
}

func (bg *Budget) allows(hd Holder, bytes int64) bool {
	used := bg.used + bytes
	free := int64(freeFraction * float64(bg.limit))
	if used > bg.limit {
		return false
	}
	return used <= free || bg.holders[hd]+bytes <= (bg.limit-free)/int64(len(bg.holders)+1)
}

// Release gives bytes back that the holder has taken.
func (bg *Budget) Release(hd Holder, bytes int64) {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	bg.used -= bytes
	if bg.holders[hd] -= bytes; bg.holders[hd] <= 0 {
		delete(bg.holders, hd)
	}
}

// Usage is what a budget has given out.
type Usage struct {
	Used, Limit int64 // bytes
	Refused     int64 // number of refusals
}

// Usage returns what the budget has given out.
func (bg *Budget) Usage() Usage {
	bg.mu.Lock()
	defer bg.mu.Unlock()
	return Usage{Used: bg.used, Limit: bg.limit, Refused: bg.refused}
}
