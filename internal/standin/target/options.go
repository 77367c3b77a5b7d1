package target

import (
	"log/slog"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
)

// ServiceTime is a log-normal distribution of service times.
type ServiceTime struct {
	Median time.Duration
	Sigma  float64 // standard deviation of the natural logarithm; with zero, every service time is Median
}

// Options configures a Process. A duration or Queue of zero disables the behavior that it controls.
type Options struct {
	FailureDomain    id.FailureDomain
	Sites            []config.Site            // of all failure domains; only targets of FailureDomain are served
	Routes           []config.Route           // determine the route of a path and whether its requests are idempotent
	ControlAddress   string                   // serves POST /control, GET /healthz and GET /records; not served if empty
	Records          string                   // path of the record file; if empty, records are kept in memory only
	Seed             uint64                   // of the random service times
	ServiceTime      ServiceTime              // for routes without an entry in RouteServiceTime
	RouteServiceTime map[id.Route]ServiceTime // overrides ServiceTime by route
	Queue            int                      // maximum number of requests that wait for a slot of a target
	LoadLag          time.Duration            // age of the load that GET /load reports
	ColdFor          time.Duration            // duration of the cold start, in which requests take longer
	ColdFactor       float64                  // factor of the service time at the start, falls linearly to 1 within ColdFor
	UncachedFactor   float64                  // factor of the service time for the first request of a client after a start
	ConnectDelay     time.Duration            // delay of the first read from a new connection
	Log              *slog.Logger
}

// DefaultOptions returns the target behavior that the requirements specify. The caller sets FailureDomain, Sites and
// Routes.
func DefaultOptions() Options {
	return Options{
		Seed:           1,
		ServiceTime:    ServiceTime{Median: 8 * time.Millisecond, Sigma: 0.5},
		Queue:          4,
		LoadLag:        300 * time.Millisecond,
		ColdFor:        5 * time.Second,
		ColdFactor:     4,
		UncachedFactor: 2,
		ConnectDelay:   time.Millisecond,
		Log:            slog.Default(),
	}
}
