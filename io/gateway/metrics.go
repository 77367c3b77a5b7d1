package gateway

import (
	"context"
	"strconv"
	"time"

	"damasklatch/core/memory"
	"damasklatch/core/placement"
	"damasklatch/io/asynclog"
	"damasklatch/io/httpframe"
	"damasklatch/io/objects"

	"github.com/uber-go/tally/v4"
)

// Metrics holds the counters and histograms of a gateway. It is safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	attempts map[placement.ResultKind]tally.Counter
	results  map[Reason]tally.Counter
	losses   map[Loss]tally.Counter
	latency  tally.Histogram
	dropped  tally.Counter
	notices  map[noticeKind]tally.Counter
	unstated map[int]tally.Counter // by the status of the target's response
	targets  map[placement.TargetState]tally.Gauge
	invalid  map[httpframe.Reason]tally.Counter
	restores tally.Counter
	overlaps tally.Counter
	// invalidLoads counts load reports with a figure that can't be read.
	invalidLoads                tally.Counter
	bodyMemory, bodyMemoryLimit tally.Gauge
}

// noticeKind classifies what targets say about themselves in responses.
type noticeKind string

// Kinds of notices.
const (
	noticeLeaving noticeKind = "leaving" // the target began to leave
	noticePause   noticeKind = "pause"   // the target asked for a pause
	noticeInvalid noticeKind = "invalid" // the value had no meaning
)

// dropCounter exports the number of dropped log lines as a metric.
type dropCounter struct {
	log      *asynclog.Writer
	metrics  *Metrics
	reported int64
}

// run updates the metric until the context is canceled.
func (dc *dropCounter) run(ctx context.Context) {
	tk := time.NewTicker(dropReportInterval)
	defer tk.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tk.C:
			now := dc.log.Dropped()
			dc.metrics.dropped.Inc(now - dc.reported)
			dc.reported = now
		}
	}
}

// dropReportInterval is the interval at which dropCounter updates the metric.
const dropReportInterval = 5 * time.Second

// latencyBuckets are the upper bounds of the buckets of the latency histogram.
var latencyBuckets = tally.DurationBuckets{
	10 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond,
	400 * time.Millisecond, 500 * time.Millisecond, 700 * time.Millisecond, time.Second, 1500 * time.Millisecond,
	2 * time.Second, 3 * time.Second, 5 * time.Second, 10 * time.Second,
}

// NewMetrics creates the metrics of a gateway in a scope.
func NewMetrics(sc tally.Scope) *Metrics {
	mt := &Metrics{
		attempts: map[placement.ResultKind]tally.Counter{}, results: map[Reason]tally.Counter{}, losses: map[Loss]tally.Counter{},
		scope: sc, latency: sc.Histogram("request_latency", latencyBuckets),
		dropped: sc.Counter("log_lines_dropped"), notices: map[noticeKind]tally.Counter{},
		unstated: map[int]tally.Counter{}, targets: map[placement.TargetState]tally.Gauge{},
		invalid: map[httpframe.Reason]tally.Counter{}, restores: sc.Counter("store_restores"), overlaps: sc.Counter("overlapping_requests"),
		invalidLoads: sc.Counter("invalid_load_reports"), bodyMemory: sc.Gauge("body_memory"), bodyMemoryLimit: sc.Gauge("body_memory_limit"),
	}
	for _, rs := range httpframe.Reasons {
		mt.invalid[rs] = sc.Tagged(map[string]string{"reason": string(rs)}).Counter("invalid_responses")
	}
	for _, st := range placement.TargetStates {
		mt.targets[st] = sc.Tagged(map[string]string{"state": string(st)}).Gauge("targets")
	}
	for _, kind := range []noticeKind{noticeLeaving, noticePause, noticeInvalid} {
		mt.notices[kind] = sc.Tagged(map[string]string{"kind": string(kind)}).Counter("target_notices")
	}
	for _, kind := range []placement.ResultKind{
		placement.Succeeded, placement.Failed, placement.Shed, placement.Misplaced, placement.Unreached, placement.Broken, placement.Withdrawn, placement.Dropped,
	} {
		mt.attempts[kind] = sc.Tagged(map[string]string{"kind": string(kind)}).Counter("target_attempts")
	}
	for _, status := range notRunStatuses {
		mt.unstated[status] = sc.Tagged(map[string]string{"status": strconv.Itoa(status)}).Counter("unstated_refusals")
	}
	mt.results[""] = sc.Tagged(map[string]string{"reason": "answered"}).Counter("requests")
	for rs := range statuses {
		mt.results[rs] = sc.Tagged(map[string]string{"reason": string(rs)}).Counter("requests")
	}
	for _, ls := range allLosses {
		mt.losses[ls] = sc.Tagged(map[string]string{"cause": string(ls)}).Counter("losses")
	}
	return mt
}

func (mt *Metrics) countNotice(kind noticeKind) { mt.notices[kind].Inc(1) }

// setCopyAge exports the age of this VM's copy of a kind of objects and the number of other VMs that it has passed through.
func (mt *Metrics) setCopyAge(kind objects.Kind, age time.Duration, hops int) {
	sc := mt.scope.Tagged(map[string]string{"kind": string(kind)})
	sc.Gauge("copy_age").Update(age.Seconds())
	sc.Gauge("copy_hops").Update(float64(hops))
}

// setBodyMemory exports what buffered bodies use of their memory.
func (mt *Metrics) setBodyMemory(us memory.Usage) {
	mt.bodyMemory.Update(float64(us.Used))
	mt.bodyMemoryLimit.Update(float64(us.Limit))
}

// setTargets sets the number of targets in each state.
func (mt *Metrics) setTargets(list []placement.TargetStatus) {
	nums := map[placement.TargetState]int{}
	for _, st := range list {
		nums[st.State]++
	}
	for st, ga := range mt.targets {
		ga.Update(float64(nums[st]))
	}
}

func (mt *Metrics) countAttempt(kind placement.ResultKind) { mt.attempts[kind].Inc(1) }

// countUnstated counts a response of a target whose status is one of notRunStatuses, without a statement of the target.
func (mt *Metrics) countUnstated(status int) { mt.unstated[status].Inc(1) }

// countOverlap counts a pipelined request that was started before the ones ahead of it had ended.
func (mt *Metrics) countOverlap() { mt.overlaps.Inc(1) }

// countRestore counts a restore of the store from a copy.
func (mt *Metrics) countRestore() { mt.restores.Inc(1) }

// countInvalid counts a response that was discarded, if the error says that it is no valid one.
func (mt *Metrics) countInvalid(err error) {
	if rs, ok := httpframe.ReasonOf(err); ok {
		mt.invalid[rs].Inc(1)
	}
}

func (mt *Metrics) countResult(rs Reason, loss Loss, took time.Duration) {
	mt.results[rs].Inc(1)
	if loss != "" {
		mt.losses[loss].Inc(1)
	}
	mt.latency.RecordDuration(took)
}
