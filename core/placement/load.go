package placement

import (
	"math"
	"time"
)

// Count is a number of requests or slots that a target reports.
type Count struct {
	Num   int
	Known bool // Num was reported and could be read
}

// Pace is how long work takes on the machine of a target, as a multiple of the usual time. Zero means unknown.
type Pace float64

// Load is the load that a target reports with its responses. Each figure may be missing.
type Load struct {
	Running Count // requests that occupy a slot
	Waiting Count // requests that wait for a slot
	Slots   Count
	Pace    Pace
}

// NewLoad returns a report of the three numbers, without a pace.
func NewLoad(running, waiting, slots int) *Load {
	return &Load{Running: Count{running, true}, Waiting: Count{waiting, true}, Slots: Count{slots, true}}
}

// HasRoom reports whether the target has free slots and no queue, as far as it has reported all that tells. It is false for nil.
func (ld *Load) HasRoom() bool {
	return ld != nil && ld.Running.Known && ld.Waiting.Known && ld.Slots.Known && ld.Waiting.Num == 0 && ld.Running.Num < ld.Slots.Num
}

// total returns the number of requests at the target, and false if it is not known.
func (ld *Load) total() (int, bool) {
	if ld == nil || !ld.Running.Known {
		return 0, false
	}
	return ld.Running.Num + ld.Waiting.Num, true
}

// queued reports whether requests wait at the target. It is false for nil.
func (ld *Load) queued() bool { return ld != nil && ld.Waiting.Num > 0 }

const (
	// paceHalfLife is the time after which a reported pace counts half as far as it differs from the mean. The machines of targets
	// are shared with others, and their pace changes several times a second.
	paceHalfLife = 300 * time.Millisecond
	// paceWeight is the weight of one report in the mean.
	paceWeight = 0.05
)

// paceMeter estimates the pace of a target from its reports to this VM. VMs don't tell each other the pace: all of them would send
// their requests to the same few targets at the same moment. The zero value stands for the usual pace.
type paceMeter struct {
	last, mean Pace
	at         time.Time // of the last report
}

// observe records a reported pace.
func (pm *paceMeter) observe(now time.Time, pace Pace) {
	if pace <= 0 {
		return
	}
	if pm.at.IsZero() {
		pm.mean = 1
	}
	pm.mean += paceWeight * (pace - pm.mean)
	pm.last, pm.at = pace, now
}

// estimate returns the pace to expect now.
func (pm *paceMeter) estimate(now time.Time) Pace {
	if pm.at.IsZero() {
		return 1
	}
	weight := math.Exp2(-now.Sub(pm.at).Seconds() / paceHalfLife.Seconds())
	return pm.mean + Pace(weight)*(pm.last-pm.mean)
}

// Percent returns the pace in percent of the usual time.
func (pa Pace) Percent() int { return int(math.Round(100 * float64(pa))) }

// of returns the time that work takes at the pace, if it usually takes the given time.
func (pa Pace) of(usual time.Duration) time.Duration {
	return time.Duration(float64(pa) * float64(usual))
}

// usual returns the time that work usually takes, if it took the given time at the pace. An unknown pace counts as the usual one.
func (pa Pace) usual(took time.Duration) time.Duration {
	if pa <= 0 {
		return took
	}
	return time.Duration(float64(took) / float64(pa))
}

// expectedWait estimates how long a new request waits for a free slot if the target usually takes the given time for each request.
func (ts *targetState) expectedWait(now time.Time, service time.Duration) time.Duration {
	ahead := ts.inFlight(now) + 1 - float64(ts.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(max(ts.Slots, 1)) * float64(ts.pace.estimate(now).of(service)))
}
