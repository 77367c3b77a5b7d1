package limit

import (
	"math"
	"time"

	"damasklatch/core/unit"
)

// demand is an estimate of the demand for a bucket: admitted and refused amounts per second.
type demand struct {
	rate    unit.MilliPerSecond // smoothed over slowTime
	fast    unit.MilliPerSecond // smoothed over fastTime
	largest unit.Milli          // largest recent single call
	refused bool                // whether the latest sample had refusals
	sampled time.Time
	jumped  time.Time // latest time at which rate was set to fast
}

// Time constants of the exponential smoothing. The slow estimate is the one in use, so that random variation does not
// move shares between VMs. When the fast estimate differs from it by more than random variation explains, the slow
// estimate is set to the fast one, so that shares follow a change of load in well under a second.
const (
	slowTime = 1500 * time.Millisecond
	fastTime = 200 * time.Millisecond
	// jumpDeviations is the number of standard deviations that counts as more than random variation.
	jumpDeviations = 3
	// minSample is the shortest time over which usage is sampled; shorter samples are too noisy.
	minSample = 20 * time.Millisecond
)

// sample updates the estimate with the usage since the latest sample.
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
	// The time constant is short after a jump and grows with the time since, so that the estimate settles on the new
	// level quickly.
	timeConstant := min(max(now.Sub(dm.jumped), fastTime), slowTime)
	dm.rate = smooth(dm.rate, sampled, elapsed, timeConstant)
	dm.fast = smooth(dm.fast, sampled, elapsed, fastTime)
	dm.largest = max(us.largest, smooth(dm.largest, us.largest, elapsed, slowTime))
	threshold := jumpDeviations * deviation(max(dm.rate, dm.fast), dm.largest, fastTime)
	if diff := dm.fast - dm.rate; diff > threshold || -diff > threshold {
		dm.rate, dm.jumped = dm.fast, now
	}
}

// smooth is a first-order low-pass filter. This form stays stable for samples that are longer than the time constant.
func smooth[T ~int64](old, sampled T, elapsed, timeConstant time.Duration) T {
	return old + T(float64(sampled-old)*float64(elapsed)/float64(elapsed+timeConstant))
}

// deviation returns the standard deviation of a rate that is smoothed with the given time constant, for independent
// calls of the given size.
func deviation(rate unit.MilliPerSecond, size unit.Milli, timeConstant time.Duration) unit.MilliPerSecond {
	if rate <= 0 || size <= 0 {
		return 0
	}
	return unit.MilliPerSecond(math.Sqrt(float64(rate) * float64(size) / (2 * timeConstant.Seconds())))
}

const (
	// horizon is the period for which the VM ensures that it can meet its demand.
	horizon = time.Second
	// headroomDivisor adds 5% to the demand. More headroom would claim capacity that other VMs need.
	headroomDivisor = 20
	// refillSeconds is the time in which a bucket is to return to half full. The resulting correction of the rate is
	// at most 1/refillDivisor of the demand.
	refillSeconds = 2
	refillDivisor = 4
	// reserveDeviations is the number of standard deviations beyond its demand that a VM keeps, both of what it owns
	// and of what it has borrowed. It prevents random variation of the demand from moving capacity back and forth.
	reserveDeviations = 2
)

// need returns what the VM needs for the next second. It is more than the demand if the bucket is less than half
// full, and less if the bucket is fuller. VMs that share a scarce limit therefore run out of tokens at the same time
// or not at all.
func (dm *demand) need(usable Amount) Amount {
	refill := unit.MilliPerSecond((usable.Burst/2 - usable.Tokens) / unit.Milli(refillSeconds))
	bound := dm.rate / refillDivisor
	am := dm.amountFor(dm.rate + dm.rate/headroomDivisor + min(max(refill, -bound), bound))
	if dm.refused {
		return am.atLeast(dm.reserve())
	}
	return am
}

// reserve returns what the VM keeps for its own demand and neither lends nor returns.
func (dm *demand) reserve() Amount {
	noise := reserveDeviations * deviation(dm.rate, dm.largest, slowTime)
	return dm.amountFor(dm.rate + max(dm.rate/headroomDivisor, noise))
}

// amountFor returns the rate with a burst that covers the horizon and twice the largest recent call.
func (dm *demand) amountFor(rate unit.MilliPerSecond) Amount {
	if rate <= 0 {
		return Amount{}
	}
	return Amount{Rate: rate, Burst: max(rate.Over(horizon), 2*dm.largest)}
}

// runsShort reports whether the usable amount does not last for the horizon or can't admit the largest recent call.
func (dm *demand) runsShort(usable Amount) bool {
	if dm.rate <= 0 {
		return false
	}
	return dm.refused || usable.Burst < dm.largest || 2*usable.Tokens < usable.Burst &&
		usable.Tokens+usable.Rate.Over(horizon) < dm.need(usable).Rate.Over(horizon)
}
