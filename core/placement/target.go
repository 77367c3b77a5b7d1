package placement

import (
	"time"

	"damasklatch/core/fairness"
	"damasklatch/core/id"
	"damasklatch/core/rendezvous"
)

// Target describes a target as registered in the store.
type Target struct {
	ID             id.Target
	Pool           id.Pool
	Address        string
	FailureDomain  id.FailureDomain
	Region         id.Region
	Slots          int           // number of requests that the target runs at the same time
	Draining       bool          // the target accepts no new requests
	ColdFor        time.Duration // how long the target stays cold after its registration
	StartUnixMilli int64         // start of the target process in Unix milliseconds; zero if unknown
}

// Request describes a request for which a target is chosen.
type Request struct {
	Pool      id.Pool
	Route     id.Route
	Object    string               // the object that the request works on; empty if there is none
	Urgent    bool                 // the request has the highest priority in the pool
	Team      id.Team              // empty for anonymous requests, which share one part of a pool that has too little room
	Weight    fairness.Weight      // of the team
	Size      int64                // of the body in bytes
	Objective time.Duration        // latency objective of the route
	Remaining time.Duration        // time until the deadline
	Allowed   func(id.Region) bool // reports whether a region may be used; nil allows all regions
	Tried     []id.Target          // targets of earlier attempts, which are not chosen again

	// exceedsShare is set by Pick if the pool has too little room and the team has got more than its share.
	exceedsShare bool
}

// objectHash returns the hash of the route and the object.
func (rq *Request) objectHash() uint64 { return rendezvous.Hash(string(rq.Route), rq.Object) }

// Choice is a target that was chosen for an attempt.
type Choice struct {
	Target
	ExpectedWait time.Duration // estimated wait for a free slot of the target
	HedgeDelay   time.Duration // time without a response after which the request may also be sent to a second target
	InFlight     int           // estimated number of other requests at the target
	KnowsObject  bool          // the target probably knows the object of the request
	Cold         bool          // the target has started recently
	Pace         Pace          // estimated pace of the target's machine
	object       uint64        // hash of the route and the object
}

// Reason tells why no target was chosen for a request.
type Reason string

// Reasons of a Refusal.
const (
	NoTarget Reason = "no_target" // no target of the pool is usable for the request
	Full     Reason = "full"      // the request would wait too long at the target with the lowest cost
	Shift    Reason = "shift"     // too many requests of the own region would run in another region than before
)

// Refusal tells why no target was chosen for a request and when the caller should retry.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
	Region     id.Region // the chosen region; empty if no region has a usable target
	// Paused is set if all targets that could serve the request have asked for a pause. RetryAfter is then the time until the end of
	// the first pause.
	Paused bool
	// Best is the target with the lowest cost. It is set if the reason is Full.
	Best Choice
	// ExceedsShare is set if the team had got more than its share of the pool.
	ExceedsShare bool
}

// ResultKind classifies the outcome of an attempt at a target.
type ResultKind string

// Outcomes of an attempt.
const (
	Succeeded ResultKind = "succeeded"
	Failed    ResultKind = "failed"    // the target ran the request and responded with an error
	Shed      ResultKind = "shed"      // the target rejected the request for lack of capacity and did not run it
	Misplaced ResultKind = "misplaced" // a different target responded at the address
	Unreached ResultKind = "unreached" // no connection could be made
	Broken    ResultKind = "broken"    // the connection broke or there was no response in time
	Withdrawn ResultKind = "withdrawn" // the target began to leave or to pause before the request was sent
	Dropped   ResultKind = "dropped"   // the attempt was canceled; this says nothing about the target
)

// Result is the outcome of an attempt.
type Result struct {
	Kind    ResultKind
	Latency time.Duration // used if the attempt succeeded
	Bytes   int64         // size of the response body; used if the attempt succeeded, and zero if it is not known
	Load    *Load         // nil if the target reported none
}

// targetState holds what this VM knows about a target.
type targetState struct {
	Target
	hash           uint64
	ownInFlight    int       // requests of this VM in flight
	othersInFlight float64   // requests of other VMs at reportedAt
	reportedAt     time.Time // last report, directly or through another VM
	// directReportAt is the time of the last report in a response to this VM.
	directReportAt time.Time
	pace           paceMeter
	evacuated      bool

	recent    recentObjects // objects of requests that this VM sent to the target
	coldUntil time.Time
	coldPacer pacer

	misplaced           bool // a different target responded at its address
	noticeState              // what the target has said about itself
	failureRate         float64
	consecutiveFailures int
	ejectedUntil        time.Time
	probing             bool // was ejected and has had no success since
}

// othersHalfLife is the time after which the reported requests of other VMs count only half, because they may have ended.
const othersHalfLife = 700 * time.Millisecond

// inFlight estimates the number of requests of all VMs at the target.
func (ts *targetState) inFlight(now time.Time) float64 {
	age := now.Sub(ts.reportedAt)
	others := ts.othersInFlight
	for age >= othersHalfLife && others > 0.1 {
		others /= 2
		age -= othersHalfLife
	}
	return float64(ts.ownInFlight) + others
}

// setReported records the number of requests of all VMs that the target has reported.
func (ts *targetState) setReported(now time.Time, total int) {
	ts.othersInFlight = max(float64(total-ts.ownInFlight), 0)
	ts.reportedAt = now
}

// usable reports whether this VM may send requests to the target now. After an ejection, it sends one request at a time until
// one succeeds.
func (ts *targetState) usable(now time.Time) bool {
	if ts.closed(now) || now.Before(ts.ejectedUntil) {
		return false
	}
	return !ts.probing || ts.ownInFlight == 0
}
