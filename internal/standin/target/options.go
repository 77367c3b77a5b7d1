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
	Sigma  float64 // standard deviation of the logarithm; zero makes every service time the median
}

// Options configure a process. Zero values of the durations and of Queue switch the behavior off.
type Options struct {
	FailureDomain  id.FailureDomain
	Sites          []config.Site  // sites of other failure domains are ignored
	Routes         []config.Route // name the route of a path and tell whether it is idempotent
	ControlAddress string         // of POST /control, GET /healthz and GET /records
	Records        string         // file of the records; empty keeps them in memory only
	Seed           uint64
	ServiceTime        ServiceTime              // of routes without an entry in RouteService
	RouteServiceTime   map[id.Route]ServiceTime // by route
	Queue          int                  // requests that wait for a slot of one target
	LoadLag        time.Duration        // age of the state that GET /load reports
	ColdFor        time.Duration        // time after a start within which requests are slower
	ColdFactor     float64              // factor of the service time right after a start, falling to 1
	UncachedFactor float64              // factor for the first request of a client after a start
	ConnectDelay   time.Duration        // cost of a new connection
	Log            *slog.Logger
}

// DefaultOptions returns options with the behavior of the targets in the requirements.
func DefaultOptions() Options {
	return Options{
		Seed:           1,
		ServiceTime:        ServiceTime{Median: 8 * time.Millisecond, Sigma: 0.5},
		Queue:          4,
		LoadLag:        300 * time.Millisecond,
		ColdFor:        5 * time.Second,
		ColdFactor:     4,
		UncachedFactor: 2,
		ConnectDelay:   time.Millisecond,
		Log:            slog.Default(),
	}
}
