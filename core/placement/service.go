package placement

import (
	"math"
	"time"
)

const (
	// Initial estimates of the service time, as fractions of the latency objective: for requests on objects that the target
	// knows, and for requests on other objects.
	initialKnownFraction   = 0.4
	initialUnknownFraction = 1.2
)

// serviceTimes holds moving averages of the time that a target takes for requests of a route: for requests on objects that the
// target knows, for requests on other objects, and for all requests. It also holds that of the size of responses.
type serviceTimes struct {
	known, unknown, mean time.Duration
	responseBytes        float64
}

// serviceTimesFor returns the service times of the request's route. They start from fractions of the latency objective.
func (pl *pool) serviceTimesFor(rq *Request) *serviceTimes {
	sv := pl.serviceTimes[rq.Route]
	if sv == nil {
		sv = &serviceTimes{
			known:   time.Duration(initialKnownFraction * float64(rq.Objective)),
			unknown: time.Duration(initialUnknownFraction * float64(rq.Objective)),
			mean:    rq.Objective,
		}
		pl.serviceTimes[rq.Route] = sv
	}
	return sv
}

// observe updates the average for known or for unknown objects, whichever is closer by ratio to the time that a request took. The time
// is the only evidence of whether the target knew the object: a VM does not see which objects other VMs sent to the target,
// and a new target knows no objects at first.
func (sv *serviceTimes) observe(took time.Duration) {
	mean := &sv.known
	if float64(took) > math.Sqrt(float64(sv.known)*float64(sv.unknown)) {
		mean = &sv.unknown
	}
	*mean += time.Duration(serviceWeight * float64(took-*mean))
}
