package platform

import "time"

// Op is a kind of call to the store.
type Op string

// Kinds of calls. Their names appear in the errors of the store.
const (
	OpGet    Op = "get"
	OpPut    Op = "put"
	OpDelete Op = "delete"
	OpList   Op = "list"
	OpWatch  Op = "watch"
	OpVMs    Op = "vms"
)

func (op Op) isWrite() bool { return op == OpPut || op == OpDelete }

// Calls counts the calls that reached the store. A watch counts as one call, however long it waits.
type Calls struct {
	Get         int64 `json:"get"`
	Put         int64 `json:"put"`
	Delete      int64 `json:"delete"`
	List        int64 `json:"list"`
	Watch       int64 `json:"watch"`
	VMs         int64 `json:"vms"`
	RateLimited int64 `json:"rate_limited"` // calls refused by the rate limit; each also counts under its kind
}

// Total returns the number of calls of all kinds.
func (cs Calls) Total() int64 { return cs.Get + cs.Put + cs.Delete + cs.List + cs.Watch + cs.VMs }

func (cs *Calls) count(op Op) {
	switch op {
	case OpGet:
		cs.Get++
	case OpPut:
		cs.Put++
	case OpDelete:
		cs.Delete++
	case OpList:
		cs.List++
	case OpWatch:
		cs.Watch++
	case OpVMs:
		cs.VMs++
	}
}

// Limits are the rates of calls that the store accepts. Zero means unlimited.
type Limits struct {
	WritesPerSecond int `json:"writes_per_second"`
	ReadsPerSecond  int `json:"reads_per_second"`
}

// DefaultLimits are the rates that section 1.3 of docs/design.md specifies.
var DefaultLimits = Limits{WritesPerSecond: 500, ReadsPerSecond: 2000}

// rateBucket is a token bucket with the capacity of one second of calls.
type rateBucket struct {
	perSecond int
	tokens    float64
	last      time.Time
}

func newRateBucket(perSecond int) rateBucket {
	return rateBucket{perSecond: perSecond, tokens: float64(perSecond)}
}

// take consumes one token and reports whether one was available. A rate of zero or less never refuses a call.
func (rb *rateBucket) take(now time.Time) bool {
	if rb.perSecond <= 0 {
		return true
	}
	if !rb.last.IsZero() {
		rb.tokens += now.Sub(rb.last).Seconds() * float64(rb.perSecond)
	}
	rb.tokens = min(rb.tokens, float64(rb.perSecond))
	rb.last = now
	if rb.tokens < 1 {
		return false
	}
	rb.tokens--
	return true
}
