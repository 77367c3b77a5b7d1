package event

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a reading of a hybrid logical clock: wall time, and a counter that orders events of equal wall time.
type Stamp struct {
	WallNanos int64  `json:"wall_nanos"`
	Logical   uint32 `json:"logical"`
}

// Less reports whether st comes before ot.
func (st Stamp) Less(ot Stamp) bool {
	if st.WallNanos != ot.WallNanos {
		return st.WallNanos < ot.WallNanos
	}
	return st.Logical < ot.Logical
}

// String returns the form that ParseStamp reads: "<wall_nanos>.<logical>".
func (st Stamp) String() string { return fmt.Sprintf("%d.%d", st.WallNanos, st.Logical) }

// ParseStamp reads the form that Stamp.String writes.
func ParseStamp(s string) (Stamp, error) {
	wall, logical, ok := strings.Cut(s, ".")
	if !ok {
		return Stamp{}, fmt.Errorf("stamp %q has no logical part", s)
	}
	wn, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp %q: %w", s, err)
	}
	lc, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp %q: %w", s, err)
	}
	return Stamp{WallNanos: wn, Logical: uint32(lc)}, nil
}

// maxClockLead bounds how far a received stamp may move the clock, so that one VM with a wrong clock does not move the
// clocks of all.
const maxClockLead = time.Minute

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp later than every stamp returned or observed before.
func (ck *Clock) Now(now time.Time) Stamp {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if wn := now.UnixNano(); wn > ck.last.WallNanos {
		ck.last = Stamp{WallNanos: wn}
	} else {
		ck.last.Logical++
	}
	return ck.last
}

// Observe takes note of a stamp received from another process. Stamps more than a minute ahead are ignored.
func (ck *Clock) Observe(now time.Time, st Stamp) {
	ck.mu.Lock()
	defer ck.mu.Unlock()
	if st.WallNanos > now.Add(maxClockLead).UnixNano() {
		return
	}
	if ck.last.Less(st) {
		ck.last = st
	}
}
