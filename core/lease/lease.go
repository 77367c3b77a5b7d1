package lease

import (
	"sync/atomic"
	"time"
)

// Instant is a time since the VM was booted, including the time for which it was suspended.
type Instant time.Duration

// Clock returns the present instant.
type Clock func() Instant

// Lease holds the newest evidence. It is safe for concurrent use.
type Lease struct {
	clock      Clock
	duration   atomic.Int64 // time.Duration
	evidenceAt atomic.Int64 // instant of the evidence; zero means none
	lapses     atomic.Int64
}

// New returns a lease without evidence, which lasts for the given time after each evidence.
func New(ck Clock, life time.Duration) *Lease {
	ls := &Lease{clock: ck}
	ls.SetDuration(life)
	return ls
}

// SetDuration changes the time for which the lease lasts after each evidence.
func (ls *Lease) SetDuration(life time.Duration) { ls.duration.Store(int64(life)) }

// Now returns the present instant.
func (ls *Lease) Now() Instant { return ls.clock() }

// Renew takes evidence that the newest configuration was known at an instant. Older evidence changes nothing.
func (ls *Lease) Renew(at Instant) {
	for {
		have := ls.evidenceAt.Load()
		if int64(at) <= have {
			return
		}
		held := int64(ls.clock())-have < ls.duration.Load()
		if ls.evidenceAt.CompareAndSwap(have, int64(at)) {
			if have > 0 && !held {
				ls.lapses.Add(1)
			}
			return
		}
	}
}

// Lapses returns the number of times that the lease had ended before it was renewed.
func (ls *Lease) Lapses() int64 { return ls.lapses.Load() }

// RenewFromPeer takes the evidence of another VM: it had the given age at a time after the instant echo of this VM's clock, because
// the other VM repeats the newest instant that it got from here. How long the message took does not matter.
func (ls *Lease) RenewFromPeer(echo Instant, age time.Duration) {
	if echo > 0 && age >= 0 {
		ls.Renew(echo - Instant(age))
	}
}

// Age returns the age of the evidence, and false if there is none.
func (ls *Lease) Age() (time.Duration, bool) {
	at := ls.evidenceAt.Load()
	if at == 0 {
		return 0, false
	}
	return time.Duration(int64(ls.clock()) - at), true
}

// Valid reports whether the evidence is recent enough.
func (ls *Lease) Valid() bool {
	age, ok := ls.Age()
	return ok && age < time.Duration(ls.duration.Load())
}
