package placement

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

const (
	// vmsPerColdTarget is the number of VMs that send requests to a cold target. Each gets an equal share of the target's
	// warm-up rate, so that all VMs together stay within it without exchanging messages.
	vmsPerColdTarget = 3
	// coldRateFraction is the fraction of the warm-up rate that these VMs use together.
	coldRateFraction = 0.85
)

// pacer limits the rate of requests to a cold target by a minimum interval between them. The zero value is ready to use.
type pacer struct{ next time.Time }

// take reports whether a request may be sent now at the given rate in requests a second. If so, it starts the next interval.
func (pa *pacer) take(now time.Time, rate float64) bool {
	if rate <= 0 || now.Before(pa.next) {
		return false
	}
	pa.next = now.Add(time.Duration(float64(time.Second) / rate))
	return true
}

// ready reports whether the current interval has ended.
func (pa *pacer) ready(now time.Time) bool { return !now.Before(pa.next) }

// sendsToCold reports whether the VM self is one of the vmsPerColdTarget of the given VMs that send requests to a cold target.
// They are the VMs with the highest rendezvous weight for the hash of the target, so all VMs agree on them.
func sendsToCold(target uint64, self id.VM, vms []id.VM) bool {
	if !slices.Contains(vms, self) {
		return false
	}
	mine := rendezvous.Weight(target, self)
	higher := 0
	for _, vm := range vms {
		if vm != self && rendezvous.Weight(target, vm) > mine {
			higher++
		}
	}
	return higher < vmsPerColdTarget
}

// rankByHash orders targets by descending rendezvous weight for an object. The order is the same on all VMs. The result reuses
// the memory of buf.
func rankByHash(targets []*targetState, object uint64, buf []rankedTarget) []rankedTarget {
	buf = buf[:0]
	for _, ts := range targets {
		buf = append(buf, rankedTarget{target: ts, hash: rendezvous.Mix(ts.hash ^ object)})
	}
	slices.SortFunc(buf, func(aa, bb rankedTarget) int { return cmp.Compare(bb.hash, aa.hash) })
	return buf
}

// rankedTarget is a target with its rendezvous weight for an object.
type rankedTarget struct {
	target *targetState
	hash   uint64
}
