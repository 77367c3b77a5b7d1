package target

import (
	"sync"
	"time"
)

// Load is the JSON body of the response to GET /load.
type Load struct {
	InFlight int  `json:"in_flight"`
	Slots    int  `json:"slots"`
	Queued   int  `json:"queued"`
	Draining bool `json:"draining"`
}

// sample is the load of a target at one time.
type sample struct {
	at time.Time
	ld Load
}

// loadReporter keeps recent load samples of a target. It reports the load of lag ago, or a frozen or
// false load on command.
type loadReporter struct {
	lag time.Duration

	mu      sync.Mutex
	mode    Behavior
	samples []sample // oldest first; the first is the newest sample that is at least lag old, if there is one
}

// add stores a load sample and removes samples that are no longer needed. It does nothing while reports are frozen.
func (lr *loadReporter) add(now time.Time, ld Load) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	if lr.mode == LoadFrozen {
		return
	}
	lr.samples = append(lr.samples, sample{at: now, ld: ld})
	for len(lr.samples) > 1 && now.Sub(lr.samples[1].at) >= lr.lag {
		lr.samples = lr.samples[1:]
	}
}

// reset removes all samples.
func (lr *loadReporter) reset() {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.samples = nil
}

// setMode selects what report returns: LoadTrue, LoadFrozen, LoadIdle or LoadFull.
func (lr *loadReporter) setMode(md Behavior) {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	lr.mode = md
}

// report returns the load to report. Without a sample it reports an idle target with the given number of slots.
func (lr *loadReporter) report(slots int) Load {
	lr.mu.Lock()
	defer lr.mu.Unlock()
	ld := Load{Slots: slots}
	if len(lr.samples) > 0 {
		ld = lr.samples[0].ld
	}
	switch lr.mode {
	case LoadIdle:
		ld.InFlight, ld.Queued = 0, 0
	case LoadFull:
		ld.InFlight = slots
	}
	return ld
}
