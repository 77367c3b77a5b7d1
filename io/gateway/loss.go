package gateway

import (
	"net/http"

	"damasklatch/core/placement"
)

// Loss is the cause for which a request got no response in time. The empty Loss means that it got one, or that the configuration
// does not allow the request.
type Loss string

// Causes of a Loss.
const (
	lossLimit        Loss = "limit"               // the team had used up its limit
	lossFull         Loss = "full"                // the request would have waited too long for a slot
	lossShift        Loss = "shift"               // too many requests would run in another region than before
	lossNoTarget     Loss = "no_target"           // no target of the pool was usable
	lossNoLease      Loss = "no_lease"            // the VM had no valid lease of the configuration
	lossStarting     Loss = "starting"            // the VM had no configuration yet
	lossTargetFailed Loss = "target_failed"       // targets refused the request, failed it or could not be reached
	lossTimeout      Loss = "timeout"             // no target responded within the timeout
	lossCallerLeft   Loss = "caller_left"         // the caller closed the connection
	lossMemory       Loss = "memory"              // the VM had no memory for the body
	lossCallerSlow   Loss = "caller_slow"         // the caller did not send the body within the timeout
	lossRetried      Loss = "late_retried"        // late, after more than one attempt
	lossColdTarget   Loss = "late_cold_target"    // late, at a target that had started recently
	lossUnknown      Loss = "late_unknown_object" // late, at a target that did not know the object
	lossWaited       Loss = "late_waited"         // late, at a target that had no free slot
	lossSlow         Loss = "late_slow"           // late, without a cause that this VM can see
)

// allLosses lists every Loss.
var allLosses = []Loss{
	lossLimit, lossFull, lossShift, lossNoTarget, lossNoLease, lossStarting, lossTargetFailed, lossTimeout, lossCallerLeft, lossMemory, lossCallerSlow,
	lossRetried, lossColdTarget, lossUnknown, lossWaited, lossSlow,
}

// refusalLosses holds the losses of the reasons that are not caused by the configuration.
var refusalLosses = map[Reason]Loss{
	reasonRate: lossLimit, reasonFull: lossFull, reasonShift: lossShift, reasonNoTarget: lossNoTarget, reasonStale: lossNoLease,
	reasonNoConfig: lossStarting, reasonRefused: lossTargetFailed, reasonUnreached: lossTargetFailed,
	reasonLost: lossTargetFailed, reasonUnstated: lossTargetFailed, reasonNotSent: lossTargetFailed, reasonTimeout: lossTimeout,
	reasonBodyLate: lossCallerSlow, reasonMemory: lossMemory,
}

// lossOf returns the loss of a request that ended with the given status and reason. The attempts include the last one, for which
// ch was chosen.
func lossOf(status int, rs Reason, late bool, attempts int, ch *placement.Choice) Loss {
	switch {
	case status == statusClientClosed:
		return lossCallerLeft
	case rs != "":
		return refusalLosses[rs]
	case status >= http.StatusInternalServerError:
		return lossTargetFailed
	case !late:
		return ""
	case attempts > 1:
		return lossRetried
	case ch.Cold:
		return lossColdTarget
	case !ch.KnowsObject:
		return lossUnknown
	case ch.ExpectedWait > 0:
		return lossWaited
	default:
		return lossSlow
	}
}
