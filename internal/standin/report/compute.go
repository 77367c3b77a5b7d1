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

// drainGrace is the time after the start of a drain within which a target may still receive new requests (section 1.5
// of the design page states it as an objective).
const drainGrace = 2 * time.Second

// Latencies are recorded in microseconds, up to ten minutes, with three significant digits.
const (
	maxLatency    = 10 * 60 * 1_000_000
	latencyDigits = 3
)

// Result holds the figures of a run. Its JSON form is the last line of a report; the fields without a JSON form are
// written as tables.
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

// WithinLimits holds the figures of the teams all of whose operations were within their limits.
type WithinLimits struct {
	Teams            int   `json:"teams"`
	Requests         int   `json:"requests"`
	WrongfulRefusals int   `json:"wrongful_refusals"`
	WorstGoodput     Fixed `json:"team_goodput_worst_fraction"`
}

// TeamResult holds the figures of one team. Offered counts its operations that are subject to its limit, Entitled those
// that the limit allows, Wrongful those that were refused although the limit allows them, and Admitted those that
// reached a target.
type TeamResult struct {
	Team                                                id.Team
	Offered, Entitled, Answered, RateRefusals, Wrongful int
	Goodput                                             float64 // Answered divided by Entitled
	Excess                                              Fixed   // largest excess over the limit in any window, in tokens
	Admitted                                            int
	Limited                                             bool // the Excess is valid, as work of the team reached a target
}

// RouteResult holds the figures of one route. Its latencies include transfers.
type RouteResult struct {
	Route                               id.Route
	Requests, Answered, NotRun, Unknown int
	P50Ms, P99Ms, MaxMs                 float64
}

// TargetResult holds the figures of one target. LateAfterDrain counts requests that arrived more than two seconds after
// the start of its drain.
type TargetResult struct {
	Target                 id.Target
	Ran, Canceled, Refused int
	Drained                bool
	LateAfterDrain         int
}

// SecondResult holds the figures of the operations whose scheduled start lies in one second of the run.
type SecondResult struct {
	Requests, Answered, NotRun, Unknown int
	Wrongful                            int // wrongfully refused operations of teams within their limits
}

// ReasonCount is the number of unanswered tries with the same outcome and reason.
type ReasonCount struct {
	Outcome record.Outcome
	Reason  string
	Tries   int
}

// Compute evaluates a run. It returns an error if an operation has an invalid outcome.
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

// countOperations counts the outcomes and computes the latencies of operations, in total and by route.
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
				return errors.Wrapf(err, "record latency of operation %q", op.Operation)
			}
			if op.Transfer {
				continue
			}
			if err := all.RecordValue(min(us, maxLatency)); err != nil {
				return errors.Wrapf(err, "record latency of operation %q", op.Operation)
			}
		case record.NotRun:
			rs.NotRun++
			rr.NotRun++
		case record.Unknown:
			rs.Unknown++
			rr.Unknown++
		default:
			return errors.Errorf("operation %q has invalid outcome %q", op.Operation, op.Outcome)
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

// newHistogram returns an empty histogram of latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxLatency, latencyDigits) }

// quantile returns the latency in milliseconds at a percentile between 0 and 100.
func quantile(hg *hdrhistogram.Histogram, pc float64) float64 {
	return float64(hg.ValueAtQuantile(pc)) / 1000
}

// countTries counts the tries, their faults and the reasons of unanswered tries.
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

// countTrue returns 1 for true and 0 for false.
func countTrue(b bool) int {
	if b {
		return 1
	}
	return 0
}

// countWork counts the requests of each target by outcome, the requests that carried a key, and those that arrived too
// late after a drain.
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

// checkOutcomes compares the outcomes that callers received with what targets ran. It counts non-idempotent operations
// that started twice, successful responses to operations that no target completed, and operations that callers were
// told did not run although they started. Work that was canceled after its start counts as started, as it may have had
// an effect.
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

// isFalseNotRun reports whether a caller received the outcome not_run for work that a target had started. A
// refusal of a non-idempotent operation states that the request with its ticket did not run, so the refusal of each try
// is checked. The tries of an idempotent operation share tickets, so only its final outcome is checked.
func isFalseNotRun(op *record.Operation, started bool, byRequest map[id.Request]bool) bool {
	if op.Outcome == record.NotRun && started {
		return true
	}
	return !op.Idempotent && slices.ContainsFunc(op.Tries, func(tr record.Try) bool {
		return tr.Outcome == record.NotRun && tr.RequestID != "" && byRequest[tr.RequestID]
	})
}

// compareWithLimits computes the figures of each team from its limit.
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

// add adds the figures of a team if all its operations were within its limit, and reports whether they were. A team
// without operations is not added.
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

// countBySecond counts operations by the second of the run in which they were scheduled to start.
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
