package lease

import (
	"sync/atomic"
	"time"
)

// Instant is the time since the VM booted, including time for which it was suspended.
type Instant time.Duration

// Clock returns the current instant.
type Clock func() Instant

// Lease holds the most recent evidence that the configuration was the newest. It is safe for concurrent use.
type Lease struct {
	clock      Clock
	duration   atomic.Int64 // time.Duration
	evidenceAt atomic.Int64 // Instant of the most recent evidence; zero means none
	lapses     atomic.Int64
}

// New returns a lease without evidence, which is not valid. The lease stays valid for the given duration after each
// piece of evidence.
func New(ck Clock, duration time.Duration) *Lease {
	ls := &Lease{clock: ck}
	ls.SetDuration(duration)
	return ls
}

// SetDuration changes how long the lease stays valid after each piece of evidence. The change applies at once, also
// to evidence that was received before.
func (ls *Lease) SetDuration(duration time.Duration) { ls.duration.Store(int64(duration)) }

// Now returns the current instant of the lease's clock.
func (ls *Lease) Now() Instant { return ls.clock() }

// Renew records that the VM had the newest configuration at the given instant. An instant that is not later than the
// recorded one changes nothing.
func (ls *Lease) Renew(at Instant) {
	for {
		have := ls.evidenceAt.Load()
		if int64(at) <= have {
			return
		}
		valid := int64(ls.clock())-have < ls.duration.Load()
		if ls.evidenceAt.CompareAndSwap(have, int64(at)) {
			if have > 0 && !valid {
				ls.lapses.Add(1)
			}
			return
		}
	}
}

// Lapses returns how many times the lease had expired before it was renewed.
func (ls *Lease) Lapses() int64 { return ls.lapses.Load() }

// RenewFromPeer records evidence that another VM reported with the given age. The other VM echoes the latest instant
// that it received from this VM, so its evidence had that age at some moment after echo, and the transit time of the
// message does not matter. A zero echo or a negative age means that there is no evidence, and changes nothing.
func (ls *Lease) RenewFromPeer(echo Instant, age time.Duration) {
	if echo > 0 && age >= 0 {
		ls.Renew(echo - Instant(age))
	}
}

// Age returns the age of the most recent evidence, and false if there is none.
func (ls *Lease) Age() (time.Duration, bool) {
	at := ls.evidenceAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(int64(ls.clock()) - at), true
}

// Valid reports whether there is evidence and it is younger than the duration of the lease.
func (ls *Lease) Valid() bool {
	age, ok := ls.Age()
	return ok && age < time.Duration(ls.duration.Load())
}
