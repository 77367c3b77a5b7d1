package report

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/standin/record"
)

// Input holds the records of a run and the configuration with which it ran.
type Input struct {
	Operations []record.Operation
	Work       []record.Work
	Teams      []config.Team
	Routes     []config.Route
	// Regions and FailureDomains are used only to compute the headroom of regions.
	Regions        []config.Region
	FailureDomains []config.FailureDomain

	firstStart int64 // scheduled start of the first operation
}

// secondOf returns the second of the run, counted from zero, in which an operation was scheduled to start.
func (in *Input) secondOf(op *record.Operation) int {
	return int((op.ScheduledAt - in.firstStart) / int64(time.Second))
}

// isOpen reports whether a route has open access. No team's limit applies to such a route.
func (in *Input) isOpen(name id.Route) bool {
	return slices.ContainsFunc(in.Routes, func(rt config.Route) bool {
		return rt.Name == name && rt.Access == config.AccessOpen
	})
}

// reasonsNotEntitled are the reasons for refusals of operations that count neither as offered nor as entitled: the
// request itself is invalid or not permitted.
var reasonsNotEntitled = []string{"no_key", "unknown_key", "not_permitted", "no_route", "bad_request", "body_too_large"}

// reasonsBeforeLimit are the reasons for refusals that are decided before the team's limit is applied, so that the try
// takes no token.
var reasonsBeforeLimit = append([]string{"stale_keys", "shift_cap", "no_ticket", "not_ready", "leaving", "wrong_vm", "ticket_expired",
	"earlier_incarnation", "table_full", record.ReasonDial}, reasonsNotEntitled...)

// reasonRate is the reason for a refusal by the team's limit.
const reasonRate = "rate"

// limitedTry is a try to which the team's limit was applied, with its operation.
type limitedTry struct {
	op *record.Operation
	tr *record.Try
}

// limitedTries returns the tries of a team to which its limit was applied, in order of their start. Duplicates are left
// out: they receive the outcome of the first request and take no token.
func (in *Input) limitedTries(tm id.Team) []limitedTry {
	var sgs []limitedTry
	for i := range in.Operations {
		op := &in.Operations[i]
		if op.Team != tm || in.isOpen(op.Route) {
			continue
		}
		for j := range op.Tries {
			tr := &op.Tries[j]
			if !tr.Duplicate && !slices.Contains(reasonsBeforeLimit, tr.Reason) {
				sgs = append(sgs, limitedTry{op, tr})
			}
		}
	}
	slices.SortStableFunc(sgs, func(a, b limitedTry) int { return cmp.Compare(a.tr.StartedAt, b.tr.StartedAt) })
	return sgs
}

// wronglyRefused returns the wrongfully refused operations of a team, and the number of all its tries that were
// refused by its limit. A refusal is wrongful if a single bucket for the whole fleet would have admitted the
// operation. The bucket receives the tries in order of their start. Once it has admitted an operation, later tries of
// the operation take no token, and their refusal is wrongful too.
func (in *Input) wronglyRefused(tm config.Team) (wrongful []*record.Operation, refused int) {
	bk := newBucket(tm)
	admitted, counted := make(map[string]bool), make(map[string]bool)
	for _, sg := range in.limitedTries(tm.Name) {
		name := sg.op.Operation
		if !admitted[name] {
			admitted[name] = bk.take(sg.tr.StartedAt)
		}
		if sg.tr.Reason != reasonRate {
			continue
		}
		refused++
		if admitted[name] && !counted[name] {
			counted[name] = true
			wrongful = append(wrongful, sg.op)
		}
	}
	return wrongful, refused
}

// countEntitled returns the number of a team's operations that are subject to its limit, the number that a single
// bucket for the whole fleet would have admitted at their scheduled starts, and the number that were answered.
func (in *Input) countEntitled(tm config.Team) (offered, entitled, answered int) {
	var times []int64
	for i := range in.Operations {
		op := &in.Operations[i]
		if op.Team != tm.Name || in.isOpen(op.Route) || slices.Contains(reasonsNotEntitled, op.Reason) {
			continue
		}
		times = append(times, op.ScheduledAt)
		if op.Outcome == record.Answered {
			answered++
		}
	}
	slices.Sort(times)
	bk := newBucket(tm)
	for _, at := range times {
		if bk.take(at) {
			entitled++
		}
	}
	return len(times), entitled, answered
}

// admissionTimes returns, in ascending order, the times at which each operation of the team first arrived at a target.
// Further attempts by the daemon for the same request take no token.
func (in *Input) admissionTimes(tm id.Team) []int64 {
	first := make(map[string]int64)
	for i := range in.Work {
		wk := &in.Work[i]
		if wk.Kind != record.KindWork || wk.Team != tm || in.isOpen(wk.Route) {
			continue
		}
		key := workKey(wk)
		if at, ok := first[key]; !ok || wk.ArrivedAt < at {
			first[key] = wk.ArrivedAt
		}
	}
	times := make([]int64, 0, len(first))
	for _, at := range first {
		times = append(times, at)
	}
	slices.Sort(times)
	return times
}

// workKey returns a key that is equal for all work of one operation: the name of the operation, or the request id for
// work of callers that send no operation name.
func workKey(wk *record.Work) string {
	if wk.Operation != "" {
		return wk.Operation
	}
	return "request " + string(wk.RequestID)
}
