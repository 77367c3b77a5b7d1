package report

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"damasklatch/core/id"
	"damasklatch/internal/standin/record"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"
)

// drainGrace is the time after a drain within which a target may still get new work (stated target, section 1.5 of
// the design page).
const drainGrace = 2 * time.Second

// Latencies are recorded in microseconds, up to ten minutes, with three significant digits.
const (
	maxLatency    = 10 * 60 * 1_000_000
	latencyDigits = 3
)

// Result is a judged run. Its JSON form is the last line of a report.
type Result struct {
	VMs                   int              `json:"vms"`
	Requests              int              `json:"requests"`
	Answered              int              `json:"answered"`
	NotRun                int              `json:"not_run"`
	Unknown               int              `json:"unknown"`
	RateRefusals          int              `json:"rate_refusals"`
	WrongfulRefusals      int              `json:"wrongful_refusals"`
	NonIdempotentRunTwice int              `json:"non_idempotent_run_twice"`
	FalseNotRun           int              `json:"false_not_run"`
	AnsweredWithoutRun    int              `json:"answered_without_run"`
	KeysSeenByTargets     int              `json:"keys_seen_by_targets"`
	IncompleteAnswers     int              `json:"incomplete_answers"`
	InterruptedAnswers    int              `json:"interrupted_answers"`
	CrossedAnswers        int              `json:"crossed_answers"`
	Tries                 int              `json:"tries"`
	DuplicatesSent        int              `json:"duplicates_sent"`
	DrainedLateRequests   int              `json:"drained_late_requests"`
	RegionHeadroom        int              `json:"region_headroom_min"`
	P50Ms                 Fixed            `json:"p50_ms"`
	P99Ms                 Fixed            `json:"p99_ms"`
	WorstTeam             id.Team          `json:"worst_team"`
	WorstGoodput          Fixed            `json:"team_goodput_worst_fraction"`
	WithinLimits          WithinLimits     `json:"within_limits"`
	MaxWindowExcess       map[string]Fixed `json:"max_window_excess"`

	Teams   []TeamResult   `json:"-"`
	Routes  []RouteResult  `json:"-"`
	Targets []TargetResult `json:"-"`
	Reasons []ReasonCount  `json:"-"`
	Seconds []SecondResult `json:"-"`
}

// WithinLimits has the figures of the teams that never sent more than their limits allow.
type WithinLimits struct {
	Teams            int   `json:"teams"`
	Requests         int   `json:"requests"`
	WrongfulRefusals int   `json:"wrongful_refusals"`
	WorstGoodput     Fixed `json:"team_goodput_worst_fraction"`
}

// TeamResult is a team's part of a run.
type TeamResult struct {
	Team                                                id.Team
	Offered, Entitled, Answered, RateRefusals, Wrongful int
	Goodput                                             float64 // answered as a fraction of entitled
	Excess                                              Fixed
	Admitted                                            int
	Limited                                             bool // some of its requests were subject to its limit
}

// RouteResult is a route's part of a run. Latencies include transfers.
type RouteResult struct {
	Route                               id.Route
	Requests, Answered, NotRun, Unknown int
	P50Ms, P99Ms, MaxMs                 float64
}

// TargetResult is a target's part of a run.
type TargetResult struct {
	Target                 id.Target
	Ran, Canceled, Refused int
	Drained                bool
	LateAfterDrain         int
}

// SecondResult has the operations whose scheduled start lies in one second of the run.
type SecondResult struct {
	Requests, Answered, NotRun, Unknown int
	Wrongful                            int // operations of teams within their limits with a wrongful refusal
}

// ReasonCount counts tries that were not answered.
type ReasonCount struct {
	Outcome record.Outcome
	Reason  string
	Tries   int
}

// Compute judges a run.
func Compute(in *Input) (*Result, error) {
	rs := &Result{MaxWindowExcess: make(map[string]Fixed)}
	if err := rs.countOperations(in); err != nil {
		return nil, err
	}
	rs.countBySecond(in)
	rs.countTries(in)
	rs.countWork(in)
	rs.checkOutcomes(in)
	rs.compareWithLimits(in)
	rs.RegionHeadroom = in.minRegionHeadroom()
	return rs, nil
}

// countOperations counts outcomes and latencies.
func (rs *Result) countOperations(in *Input) error {
	all := newHistogram()
	byRoute := make(map[id.Route]*hdrhistogram.Histogram)
	routes := make(map[id.Route]*RouteResult)
	for i := range in.Operations {
		op := &in.Operations[i]
		rr := routes[op.Route]
		if rr == nil {
			rr = &RouteResult{Route: op.Route}
			routes[op.Route], byRoute[op.Route] = rr, newHistogram()
		}
		rs.Requests++
		rr.Requests++
		switch op.Outcome {
		case record.Answered:
			rs.Answered++
			rr.Answered++
			us := max((op.EndedAt-op.ScheduledAt)/int64(time.Microsecond), 1)
			if err := byRoute[op.Route].RecordValue(min(us, maxLatency)); err != nil {
				return errors.Wrapf(err, "latency of operation %q", op.Operation)
			}
			if op.Transfer {
				continue
			}
			if err := all.RecordValue(min(us, maxLatency)); err != nil {
				return errors.Wrapf(err, "latency of operation %q", op.Operation)
			}
		case record.NotRun:
			rs.NotRun++
			rr.NotRun++
		case record.Unknown:
			rs.Unknown++
			rr.Unknown++
		default:
			return errors.Errorf("operation %q has the outcome %q", op.Operation, op.Outcome)
		}
	}
	rs.P50Ms, rs.P99Ms = Fixed(quantile(all, 50)), Fixed(quantile(all, 99))
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		rr, hg := routes[name], byRoute[name]
		rr.P50Ms, rr.P99Ms, rr.MaxMs = quantile(hg, 50), quantile(hg, 99), quantile(hg, 100)
		rs.Routes = append(rs.Routes, *rr)
	}
	return nil
}

// newHistogram returns an empty histogram of latencies.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, latencyDigits) }

// quantile returns a percentile in milliseconds.
func quantile(hg *hdrhistogram.Histogram, pc float64) float64 {
	return float64(hg.ValueAtQuantile(pc)) / 1000
}

// countTries counts what single countTries showed.
func (rs *Result) countTries(in *Input) {
	vms := make(map[id.VM]bool)
	reasons := make(map[ReasonCount]int)
	for i := range in.Operations {
		for j := range in.Operations[i].Tries {
			tr := &in.Operations[i].Tries[j]
			vms[tr.VM] = true
			rs.Tries++
			rs.DuplicatesSent += countTrue(tr.Duplicate)
			rs.IncompleteAnswers += countTrue(tr.Incomplete)
			rs.InterruptedAnswers += countTrue(tr.Interrupted)
			rs.CrossedAnswers += countTrue(tr.Crossed)
			if tr.Outcome != record.Answered {
				reasons[ReasonCount{Outcome: tr.Outcome, Reason: tr.Reason}]++
			}
		}
	}
	rs.VMs = len(vms)
	for rc, nr := range reasons {
		rc.Tries = nr
		rs.Reasons = append(rs.Reasons, rc)
	}
	slices.SortFunc(rs.Reasons, func(a, b ReasonCount) int {
		return cmp.Or(cmp.Compare(a.Outcome, b.Outcome), cmp.Compare(a.Reason, b.Reason))
	})
}

// countTrue returns 1 for true.
func countTrue(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countWork counts what each target saw.
func (rs *Result) countWork(in *Input) {
	targets := make(map[id.Target]*TargetResult)
	for i := range in.Work {
		wk := &in.Work[i]
		tr := targets[wk.Target]
		if tr == nil {
			tr = &TargetResult{Target: wk.Target}
			targets[wk.Target] = tr
		}
		if wk.Kind != record.KindWork {
			tr.Drained = tr.Drained || wk.Kind == record.KindDrain
			continue
		}
		tr.Ran += countTrue(wk.Outcome == record.Ran)
		tr.Canceled += countTrue(wk.Outcome == record.Canceled)
		tr.Refused += countTrue(wk.Outcome == record.Refused)
		rs.KeysSeenByTargets += countTrue(wk.KeySeen)
		if wk.DrainingSince > 0 && wk.ArrivedAt-wk.DrainingSince > int64(drainGrace) {
			tr.LateAfterDrain++
			rs.DrainedLateRequests++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(targets)) {
		rs.Targets = append(rs.Targets, *targets[name])
	}
}

// checkOutcomes compares what callers were told with what targets did. Work that was canceled after it started counts as
// run, as it may have had its effect.
func (rs *Result) checkOutcomes(in *Input) {
	starts, byRequest, ran := make(map[string]int), make(map[id.Request]bool), make(map[string]bool)
	for i := range in.Work {
		wk := &in.Work[i]
		if wk.Kind != record.KindWork || !wk.Started() {
			continue
		}
		key := workKey(wk)
		ran[key] = ran[key] || wk.Outcome == record.Ran
		starts[key]++
		if !wk.Idempotent {
			byRequest[wk.RequestID] = true
			if starts[key] == 2 {
				rs.NonIdempotentRunTwice++
			}
		}
	}
	for i := range in.Operations {
		op := &in.Operations[i]
		rs.AnsweredWithoutRun += countTrue(op.Outcome == record.Answered && op.Status/100 == 2 && !ran[op.Operation])
		rs.FalseNotRun += countTrue(isFalseNotRun(op, starts[op.Operation] > 0, byRequest))
	}
}

// isFalseNotRun reports whether a caller was told not_run about something that a target started. For non-idempotent
// work every single refusal counts, as each speaks about its ticket. Idempotent work shares tickets.
func isFalseNotRun(op *record.Operation, started bool, byRequest map[id.Request]bool) bool {
	if op.Outcome == record.NotRun && started {
		return true
	}
	return !op.Idempotent && slices.ContainsFunc(op.Tries, func(tr record.Try) bool {
		return tr.Outcome == record.NotRun && tr.RequestID != "" && byRequest[tr.RequestID]
	})
}

// compareWithLimits compares every team with its limit.
func (rs *Result) compareWithLimits(in *Input) {
	for _, tm := range in.Teams {
		tr := TeamResult{Team: tm.Name}
		tr.Offered, tr.Entitled, tr.Answered = in.countEntitled(tm)
		var wrongful []*record.Operation
		wrongful, tr.RateRefusals = in.wronglyRefused(tm)
		tr.Wrongful = len(wrongful)
		adm := in.admissionTimes(tm.Name)
		tr.Admitted = len(adm)
		if excess, ok := maxWindowExcess(tm, adm); ok {
			tr.Excess, tr.Limited = Fixed(excess), true
			rs.MaxWindowExcess[string(tm.Name)] = tr.Excess
		}
		if tr.Entitled > 0 {
			tr.Goodput = float64(tr.Answered) / float64(tr.Entitled)
			if rs.WorstTeam == "" || Fixed(tr.Goodput) < rs.WorstGoodput {
				rs.WorstTeam, rs.WorstGoodput = tm.Name, Fixed(tr.Goodput)
			}
		}
		if rs.WithinLimits.add(&tr) {
			for _, op := range wrongful {
				rs.Seconds[in.secondOf(op)].Wrongful++
			}
		}
		rs.RateRefusals += tr.RateRefusals
		rs.WrongfulRefusals += tr.Wrongful
		rs.Teams = append(rs.Teams, tr)
	}
}

// add counts a team if every one of its operations was within its limit, and reports whether that is so.
func (wl *WithinLimits) add(tr *TeamResult) bool {
	if tr.Offered == 0 || tr.Offered > tr.Entitled {
		return false
	}
	if wl.Teams == 0 || Fixed(tr.Goodput) < wl.WorstGoodput {
		wl.WorstGoodput = Fixed(tr.Goodput)
	}
	wl.Teams++
	wl.Requests += tr.Offered
	wl.WrongfulRefusals += tr.Wrongful
	return true
}

// countBySecond counts operations by the second of the run in which they were to start.
func (rs *Result) countBySecond(in *Input) {
	in.firstStart = math.MaxInt64
	for i := range in.Operations {
		in.firstStart = min(in.firstStart, in.Operations[i].ScheduledAt)
	}
	for i := range in.Operations {
		op := &in.Operations[i]
		nr := in.secondOf(op)
		for len(rs.Seconds) <= nr {
			rs.Seconds = append(rs.Seconds, SecondResult{})
		}
		sr := &rs.Seconds[nr]
		sr.Requests++
		sr.Answered += countTrue(op.Outcome == record.Answered)
		sr.NotRun += countTrue(op.Outcome == record.NotRun)
		sr.Unknown += countTrue(op.Outcome == record.Unknown)
	}
}
