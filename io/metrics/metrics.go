// Package metrics creates the root scope for the metrics of a daemon and the handler that serves them in the Prometheus text
// format.
package metrics

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics holds the root scope of a daemon's metrics and the handler that serves them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

const (
	namePrefix = "damasklatch"
	// ReportInterval is the interval at which recorded values become visible to the handler.
	ReportInterval = time.Second
)

// New returns metrics with their own registry, so that tests can run several daemons in one process.
func New() *Metrics {
	rg := client.NewRegistry()
	rp := prometheus.NewReporter(prometheus.Options{Registerer: rg, Gatherer: rg})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: namePrefix, CachedReporter: rp, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return &Metrics{Scope: scope, Handler: rp.HTTPHandler()}
}
