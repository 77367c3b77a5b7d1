package place

import (
	"time"

	"damasklatch/core/id"
)

// Target is a target as it registered itself.
type Target struct {
	ID             id.Target
	Pool           id.Pool
	Address        string
	FailureDomain  id.FailureDomain
	Region         id.Region
	Slots          int
	Draining       bool
	ColdFor        time.Duration // how long it stays cold, from its registration
	StartUnixMilli int64         // Unix milliseconds of its start; zero if unknown
}

// Request describes a request.
type Request struct {
	Pool      id.Pool
	Route     id.Route
	Object    string // work on the same object is faster on the same target; may be empty
	Urgent    bool   // among the most urgent work of the pool
	Size      int64  // bytes of the body
	Objective time.Duration
	Remaining time.Duration // until the deadline
	Allowed   func(id.Region) bool
	Tried     []id.Target
}

// Choice is a target that was chosen for a request.
type Choice struct {
	Target
	ExpectedWait time.Duration // for which the request is expected to wait there
	HedgeDelay   time.Duration // without an answer, after which the target counts as silent
	InFlight     int           // requests that are taken to be there already
	KnowsObject  bool          // it knows the object of the request
	object       uint64
}

// Reason tells why a request finds no target.
type Reason string

// Reasons.
const (
	NoTarget Reason = "no_target" // no target of the pool can be used
	Full     Reason = "full"      // no target could finish in time
)

// Refusal is a request without a target. It may come back after the given time.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	Region     id.Region // that the plan chose; empty if none has a target
	// Best is the target that would finish the request first, if there is one.
	Best Choice
}

// ResultKind classifies the end of an attempt at a target.
type ResultKind string

// Kinds of results.
const (
	Succeeded ResultKind = "succeeded"
	Failed    ResultKind = "failed"    // ran, and answered with a failure
	Shed      ResultKind = "shed"      // rejected for lack of room, not run
	Misplaced ResultKind = "misplaced" // another target has the address, not run
	Unreached ResultKind = "unreached" // no connection
	Broken    ResultKind = "broken"    // the connection broke or was silent
	Dropped   ResultKind = "dropped"   // the caller went away; says nothing about the target
)

// Load is the load that a target reports with its responses.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Result is the end of an attempt.
type Result struct {
	Kind    ResultKind
	Latency time.Duration
	Load    *Load // nil if none was reported
}

// node is what is known of a target.
type node struct {
	Target
	hash     uint64
	own      int // requests of this VM in flight
	others   float64
	reportAt time.Time
	// ownReportAt is the time of the last report to this VM itself.
	ownReportAt time.Time
	evacuated   bool

	seen      recent // objects that this VM sent there
	coldUntil time.Time
	warm      coldBucket

	gone         bool // its address belongs to another target
	failureRate  float64
	failures     int
	ejectedUntil time.Time
	trial        bool // back from ejection, not yet successful
}

// othersFor is the time after which the reported work of other VMs counts only half.
const othersFor = 700 * time.Millisecond

// inFlight estimates the requests at the target.
func (nd *node) inFlight(now time.Time) float64 {
	age := now.Sub(nd.reportAt)
	others := nd.others
	for age >= othersFor && others > 0.1 {
		others /= 2
		age -= othersFor
	}
	return float64(nd.own) + others
}

func (nd *node) report(now time.Time, total int) {
	nd.others = max(float64(total-nd.own), 0)
	nd.reportAt = now
}

// wait estimates the time for which a request waits at the target if one takes the given time.
func (nd *node) wait(now time.Time, service time.Duration) time.Duration {
	ahead := nd.inFlight(now) + 1 - float64(nd.Slots)
	if ahead <= 0 {
		return 0
	}
	return time.Duration(ahead / float64(max(nd.Slots, 1)) * float64(service))
}

func (nd *node) usable(now time.Time) bool {
	if nd.Draining || nd.evacuated || nd.gone || now.Before(nd.ejectedUntil) {
		return false
	}
	return !nd.trial || nd.own == 0
}
