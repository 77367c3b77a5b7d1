package event

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: the wall time, and a counter that orders events with the same wall time. The
// wall time is in Unix nanoseconds.
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

// String returns the stamp in the form "<wall_nanos>.<logical>".
func (st Stamp) String() string { return fmt.Sprintf("%d.%d", st.WallNanos, st.Logical) }

// ParseStamp parses the form that Stamp.String returns.
func ParseStamp(s string) (Stamp, error) {
	wall, logical, ok := strings.Cut(s, ".")
	if !ok {
		return Stamp{}, fmt.Errorf("timestamp %q has no logical part", s)
	}
	wn, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	lc, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("timestamp %q: %w", s, err)
	}
	return Stamp{WallNanos: wn, Logical: uint32(lc)}, nil
}

// maxClockLead is the maximum lead of a received stamp over the wall clock. It prevents one VM with a wrong clock from moving
// the clocks of all others.
const maxClockLead = time.Minute

// Clock is a hybrid logical clock. The zero value is ready for use. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a stamp for the wall time now. It is later than every stamp that the clock has returned or accepted by Observe.
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

// Observe advances the clock to a stamp received from another process. It ignores a stamp that is more than one minute ahead of
// the wall time now.
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
