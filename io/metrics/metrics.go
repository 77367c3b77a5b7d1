// Package metrics makes the metrics of a daemon and the handler that serves them in the text format of Prometheus.
package metrics

import (
	"net/http"
	"time"

	client "github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
)

// Metrics is the root scope of the daemon's metrics and the handler that serves them.
type Metrics struct {
	Scope   tally.Scope
	Handler http.Handler
}

const (
	prefix = "damasklatch"
	// ReportInterval is the period in which values are reported.
	ReportInterval = time.Second
)

// New returns metrics with a registry of their own, so that several daemons can run in one process, as tests do.
func New() *Metrics {
	rg := client.NewRegistry()
	rp := prometheus.NewReporter(prometheus.Options{Registerer: rg, Gatherer: rg})
	scope, _ := tally.NewRootScope(tally.ScopeOptions{
		Prefix: prefix, CachedReporter: rp, Separator: prometheus.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, ReportInterval)
	return &Metrics{Scope: scope, Handler: rp.HTTPHandler()}
}
