package gateway

import (
	"context"
	"log/slog"
	"time"
)

// lateRatio is the fraction of the latency objective from which a response is logged as late.
const lateRatio = 1.0

// logEnd counts the end of a request and logs it. A response within the latency objective that is no failure is logged only at
// level debug, unless it could not be written or the VM is leaving.
func (rq *request) logEnd(status int, rs Reason) {
	took := time.Since(rq.started)
	late := rq.route != nil && float64(took) > lateRatio*float64(rq.route.LatencyObjective)
	loss := lossOf(status, rs, late, rq.attempts, &rq.last)
	rq.sv.op.Metrics.countResult(rs, loss, took)
	level := slog.LevelDebug
	leaving := rq.sv.leaving.Load()
	if rs != "" || late || status >= 500 || leaving || rq.writeErr != nil || rq.unstated.Load() > 0 {
		level = slog.LevelInfo
	}
	lg := rq.sv.op.RequestLog
	if !lg.Enabled(context.Background(), level) {
		return
	}
	age, _ := rq.sv.op.Lease.Age()
	attrs := []slog.Attr{
		slog.String("request_id", string(rq.caller.ID)), slog.Int("status", status),
		slog.Int64("duration_ms", took.Milliseconds()), slog.Int64("lease_age_ms", age.Milliseconds()),
		slog.Int64("deadline_ms", rq.caller.Deadline.Milliseconds()),
	}
	if rs != "" {
		attrs = append(attrs, slog.String("reason", string(rs)))
	}
	if loss != "" {
		attrs = append(attrs, slog.String("loss", string(loss)))
	}
	if rq.table != nil {
		attrs = append(attrs, slog.Uint64("version", uint64(rq.table.Config.Version)))
	}
	if rq.route != nil {
		attrs = append(attrs, slog.String("route", string(rq.route.Name)), slog.String("team", string(rq.teamName())),
			slog.String("pool", string(rq.placement.Pool)), slog.Bool("late", late))
	}
	if rq.last.ID != "" {
		attrs = append(attrs, slog.Int("attempts", rq.attempts), slog.String("target", string(rq.last.ID)),
			slog.String("target_failure_domain", string(rq.last.FailureDomain)),
			slog.Int64("wait_expected_ms", rq.last.ExpectedWait.Milliseconds()), slog.Int("target_in_flight", rq.last.InFlight),
			slog.Int("target_slots", rq.last.Slots), slog.Bool("target_knows_object", rq.last.KnowsObject), slog.Int("target_pace_percent", rq.last.Pace.Percent()))
	}
	attrs = append(attrs, rq.responseAttrs()...)
	if rq.region != "" {
		attrs = append(attrs, slog.String("region", string(rq.region)))
	}
	if rq.exceedsShare {
		attrs = append(attrs, slog.Bool("exceeds_share", true))
	}
	if leaving {
		attrs = append(attrs, slog.Bool("leaving", true))
	}
	if rq.writeErr != nil {
		attrs = append(attrs, slog.String("write_error", rq.writeErr.Error()))
	}
	if rq.cause != nil {
		attrs = append(attrs, slog.String("error", rq.cause.Error()))
	}
	lg.LogAttrs(context.Background(), level, "request ended", attrs...)
}

// responseAttrs returns what is logged about the responses of targets.
func (rq *request) responseAttrs() []slog.Attr {
	var attrs []slog.Attr
	if rq.targetStatus != 0 {
		attrs = append(attrs, slog.Int("target_status", rq.targetStatus))
	}
	if rq.statedNotRun || meansNotRun(rq.targetStatus) {
		attrs = append(attrs, slog.Bool("target_stated_not_run", rq.statedNotRun))
	}
	if num := rq.unstated.Load(); num > 0 {
		attrs = append(attrs, slog.Int("unstated_refusals", int(num)))
	}
	return attrs
}
