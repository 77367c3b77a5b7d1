package report

import (
	"cmp"
	"slices"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/standin/record"
)

// Input is what a report is made from.
type Input struct {
	Operations []record.Operation
	Work       []record.Work
	Teams      []config.Team
	Routes     []config.Route
	// Regions and FailureDomains are needed for the headroom of regions.
	Regions        []config.Region
	FailureDomains []config.FailureDomain

	firstStart int64 // scheduled start of the first operation
}

// secondOf returns the secondOf of the run in which an operation was to start.
func (in *Input) secondOf(op *record.Operation) int {
	return int((op.ScheduledAt - in.firstStart) / int64(time.Second))
}

// isOpen reports whether a route is isOpen to all, so that no team's limit applies.
func (in *Input) isOpen(name id.Route) bool {
	return slices.ContainsFunc(in.Routes, func(rt config.Route) bool {
		return rt.Name == name && rt.Access == config.AccessOpen
	})
}

// reasonsNotEntitled are the reasons of refusals to which a team's entitlement does not apply.
var reasonsNotEntitled = []string{"no_key", "unknown_key", "not_permitted", "no_route", "bad_request", "body_too_large"}

// reasonsBeforeLimit are the reasons of refusals that come before the team's limit, so that no token was due.
var reasonsBeforeLimit = append([]string{"stale_keys", "shift_cap", "no_ticket", "not_ready", "leaving", "wrong_vm", "ticket_expired",
	"earlier_incarnation", "table_full", record.ReasonDial}, reasonsNotEntitled...)

// reasonRate is the reason of a refusal by a team's limit.
const reasonRate = "rate"

// limitedTry is a try, with its operation.
type limitedTry struct {
	op *record.Operation
	tr *record.Try
}

// limitedTries returns the tries of a team that reached its limit, in order of time. Duplicates get the outcome of the
// first request and take no token.
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

// wronglyRefused returns the operations with a refusal by the limit that one bucket for the fleet, fed with the
// tries in order of time, would have admitted. Once that bucket has admitted an operation, later tries of it take
// no further token, and a refusal of one of them is wronglyRefused, too.
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

// countEntitled returns the number of a team's operations that one bucket for the fleet would have admitted at the times
// at which the callers wanted to start them, and the number that was answered.
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

// admissionTimes returns the times at which the team's operations first arrived at a target, in order. Further tries by
// the daemon of the same request take no token.
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

// workKey identifies what the caller wanted done: its operation, or the request id of work from other callers.
func workKey(wk *record.Work) string {
	if wk.Operation != "" {
		return wk.Operation
	}
	return "request " + string(wk.RequestID)
}
