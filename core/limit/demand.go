package limit

import (
	"math"
	"time"

	"damasklatch/core/unit"
)

// demand is the smoothed demand for a bucket: admitted and refused amounts a second.
type demand struct {
	rate    unit.MilliPerSecond // smoothed over slowTime
	fast    unit.MilliPerSecond // smoothed over fastTime
	largest unit.Milli          // largest recent single call
	refused bool                // something was refused in the latest sample
	sampled time.Time
	jumped  time.Time // latest jump of the slow value
}

// Time constants of the smoothing. The slow value decides, so that chance variations move no share; when the fast
// value differs from it by more than chance explains, the slow value jumps to it, so that share moves well within a
// second.
const (
	slowTime = 1500 * time.Millisecond
	fastTime = 200 * time.Millisecond
	// jumpDeviations is the number of standard deviations that counts as more than chance.
	jumpDeviations = 3
	// minSample bounds the noise of one sample.
	minSample = 20 * time.Millisecond
)

// sample adds the usage since the last sample.
func (dm *demand) sample(now time.Time, bk *Bucket) {
	elapsed := now.Sub(dm.sampled)
	if dm.sampled.IsZero() {
		dm.sampled = now
		bk.takeUsage()
		return
	}
	if elapsed < minSample {
		return
	}
	us := bk.takeUsage()
	dm.sampled = now
	dm.refused = us.refused > 0
	sampled := unit.MilliPerSecond(float64(us.admitted+us.refused) / elapsed.Seconds())
	// After a jump the value settles on the new level quickly.
	timeConstant := min(max(now.Sub(dm.jumped), fastTime), slowTime)
	dm.rate = smooth(dm.rate, sampled, elapsed, timeConstant)
	dm.fast = smooth(dm.fast, sampled, elapsed, fastTime)
	dm.largest = max(us.largest, smooth(dm.largest, us.largest, elapsed, slowTime))
	chance := jumpDeviations * deviation(max(dm.rate, dm.fast), dm.largest, fastTime)
	if diff := dm.fast - dm.rate; diff > chance || -diff > chance {
		dm.rate, dm.jumped = dm.fast, now
	}
}

// smooth is a first-order filter in the form that stays stable for samples longer than the time constant.
func smooth[T ~int64](old, sampled T, elapsed, timeConstant time.Duration) T {
	return old + T(float64(sampled-old)*float64(elapsed)/float64(elapsed+timeConstant))
}

// deviation returns the standard deviation of the smoothed rate of independent calls of the given size.
func deviation(rate unit.MilliPerSecond, size unit.Milli, timeConstant time.Duration) unit.MilliPerSecond {
	if rate <= 0 || size <= 0 {
		return 0
	}
	return unit.MilliPerSecond(math.Sqrt(float64(rate) * float64(size) / (2 * timeConstant.Seconds())))
}

const (
	// horizon is the time over which the demand must be met.
	horizon = time.Second
	// headroomDivisor adds 5% to the demand; more would claim share that other VMs need.
	headroomDivisor = 20
	// refillSeconds is the time in which a bucket should return to half full; the correction of the rate is at most
	// a refillDivisor-th of the demand.
	refillSeconds = 2
	refillDivisor = 4
	// reserveDeviations is the number of standard deviations that a VM keeps, of what it owns and of what it has
	// borrowed, beyond its demand. It keeps the noise of the demand from moving share back and forth.
	reserveDeviations = 2
)

// need returns what the VM needs for the next second. A bucket that is less than half full needs more than the
// demand, one that is fuller needs less, so that VMs that share a scarce limit run dry at the same time or not at all.
func (dm *demand) need(usable Amount) Amount {
	refill := unit.MilliPerSecond((usable.Burst/2 - usable.Tokens) / unit.Milli(refillSeconds))
	bound := dm.rate / refillDivisor
	am := dm.amountFor(dm.rate + dm.rate/headroomDivisor + min(max(refill, -bound), bound))
	if dm.refused {
		return am.atLeast(dm.reserve())
	}
	return am
}

// reserve returns what the VM does not lend or give back because of its own demand.
func (dm *demand) reserve() Amount {
	noise := reserveDeviations * deviation(dm.rate, dm.largest, slowTime)
	return dm.amountFor(dm.rate + max(dm.rate/headroomDivisor, noise))
}

func (dm *demand) amountFor(rate unit.MilliPerSecond) Amount {
	if rate <= 0 {
		return Amount{}
	}
	return Amount{Rate: rate, Burst: max(rate.Over(horizon), 2*dm.largest)}
}

// runsShort reports whether the usable amount does not last for the next second, or cannot admit the largest recent
// call.
func (dm *demand) runsShort(usable Amount) bool {
	if dm.rate <= 0 {
		return false
	}
	return dm.refused || usable.Burst < dm.largest || 2*usable.Tokens < usable.Burst &&
		usable.Tokens+usable.Rate.Over(horizon) < dm.need(usable).Rate.Over(horizon)
}
