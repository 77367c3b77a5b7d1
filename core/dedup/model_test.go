package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"damasklatch/core/dedup"
	"damasklatch/core/id"

	"pgregory.net/rapid"
)

const (
	ticketLife     = 6 * time.Second
	longestRequest = 20 * time.Second
	tableSize      = 6
)

// variant selects deliberate faults. TestOracleFindsFaults checks that the oracle finds them.
type variant struct {
	checkFirst     bool // a check that runs before the table answers not_run
	forgetAtExpiry bool // finished tickets are forgotten at their expiry
	bareClock      bool // as forgetAtExpiry, and the table uses clock readings that go back
}

// ticketState is what the oracle knows about one ticket.
type ticketState struct {
	ticket   dedup.Ticket
	runs     int  // number of times that a target may have run the work
	notRun   bool // a response said not_run
	claimed  bool
	finished *dedup.Response // the response of the process that the ticket names
	lost     bool            // the process that the ticket names was restarted
}

// job is a request that holds a claim.
type job struct {
	ts   *ticketState
	cl   claim
	vm   id.VM
	sent bool // the request was sent to a target, which may have run it
}

// claim is implemented by *dedup.Claim and bareClaim.
type claim interface {
	Finish(now time.Time, rs dedup.Response)
}

// system simulates the tables of three VMs and the requests to them.
type system struct {
	va      variant
	now     time.Time
	tables  map[id.VM]*dedup.Table
	bare    map[id.VM]*bareTable
	incs    map[id.VM]id.Incarnation
	tickets []*ticketState
	jobs    []*job
	// late holds requests that were delayed between reading the clock and calling Begin.
	late []arrival
}

// arrival is a request that read the clock at the time at.
type arrival struct {
	ts *ticketState
	at time.Time
}

func newSystem(va variant) *system {
	sy := &system{
		va: va, now: time.Unix(1_800_000_000, 0), tables: map[id.VM]*dedup.Table{}, bare: map[id.VM]*bareTable{},
		incs: map[id.VM]id.Incarnation{},
	}
	for _, vm := range []id.VM{"a", "b", "c"} {
		sy.start(vm)
	}
	return sy
}

// start starts or restarts the process of a VM. Its jobs and its table are lost.
func (sy *system) start(vm id.VM) {
	sy.incs[vm]++
	tb := dedup.NewTable(id.VMIncarnation{VM: vm, Incarnation: sy.incs[vm]}, tableSize)
	keep := longestRequest
	if sy.va.forgetAtExpiry {
		keep = 0
	}
	tb.SetLimits(ticketLife, keep)
	sy.tables[vm] = tb
	sy.bare[vm] = &bareTable{entries: map[id.Request]*bareEntry{}}
	for _, ts := range sy.tickets {
		ts.lost = ts.lost || ts.ticket.Process.VM == vm
	}
	var keepJobs []*job
	for _, jb := range sy.jobs {
		if jb.vm != vm {
			keepJobs = append(keepJobs, jb)
		}
	}
	sy.jobs = keepJobs
}

// begin calls Begin of the table that the variant selects.
func (sy *system) begin(vm id.VM, now time.Time, tk dedup.Ticket) dedup.Decision {
	if sy.va.bareClock && tk.Process == (id.VMIncarnation{VM: vm, Incarnation: sy.incs[vm]}) {
		return sy.bare[vm].begin(now, tk)
	}
	return sy.tables[vm].Begin(now, tk, 1)
}

// request simulates a request with a copy of the ticket at a VM. It returns a message if the response violates a rule, and the
// empty string otherwise.
func (sy *system) request(ts *ticketState, vm id.VM, at time.Time, refuse, send bool) string {
	if sy.va.checkFirst && refuse {
		return sy.respond(ts, dedup.Response{Outcome: dedup.NotRun, Reason: dedup.RateExceeded})
	}
	before := len(sy.jobs)
	switch dc := sy.begin(vm, at, ts.ticket).(type) {
	case dedup.Reject:
		if dc.Reason == dedup.TicketExpired && ts.finished != nil && !ts.lost && sy.now.Before(ts.ticket.Expiry.Add(longestRequest)) {
			return "the outcome was forgotten before the expiry plus the maximum duration of a request"
		}
		return sy.respond(ts, dedup.Response{Outcome: dedup.Unknown, Reason: dc.Reason})
	case *dedup.Duplicate:
		select {
		case <-dc.Done():
			_, rs := dc.Result()
			return sy.respond(ts, rs)
		default:
			return ""
		}
	case *dedup.Claim:
		return sy.startJob(&job{ts: ts, cl: dc, vm: vm}, refuse, send)
	case bareClaim:
		return sy.startJob(&job{ts: ts, cl: dc, vm: vm}, refuse, send)
	}
	return fmt.Sprintf("no decision, %d jobs", before)
}

// startJob continues a request whose ticket was claimed: it refuses the request or starts a job.
func (sy *system) startJob(jb *job, refuse, send bool) string {
	jb.ts.claimed = true
	if refuse {
		return sy.finish(jb, dedup.Response{Outcome: dedup.NotRun, Reason: dedup.RateExceeded, Status: 429})
	}
	if send {
		jb.sent = true
		jb.ts.runs++
	}
	sy.jobs = append(sy.jobs, jb)
	return sy.checkTicket(jb.ts)
}

// finish ends a job with a response.
func (sy *system) finish(jb *job, rs dedup.Response) string {
	jb.cl.Finish(sy.now, rs)
	jb.ts.finished = &rs
	return sy.respond(jb.ts, rs)
}

// respond records a response to the caller and checks it.
func (sy *system) respond(ts *ticketState, rs dedup.Response) string {
	ts.notRun = ts.notRun || rs.Outcome == dedup.NotRun
	if ts.finished != nil && !ts.lost && rs.Reason != dedup.WrongVM && rs.Outcome != dedup.Unknown &&
		rs.Outcome != ts.finished.Outcome {
		return fmt.Sprintf("a duplicate got the outcome %s and the first request got %s", rs.Outcome, ts.finished.Outcome)
	}
	return sy.checkTicket(ts)
}

// checkTicket is the oracle. It returns a message if the work of the ticket ran twice, or ran although a response said not_run.
func (sy *system) checkTicket(ts *ticketState) string {
	switch {
	case ts.runs > 1:
		return fmt.Sprintf("the work of one ticket ran %d times", ts.runs)
	case ts.runs > 0 && ts.notRun:
		return "a response said not_run, but a target ran the work"
	}
	return ""
}

// run simulates a random sequence of actions and returns the message of the first violated rule.
func (sy *system) run(rt *rapid.T) string {
	vms := rapid.SampledFrom([]id.VM{"a", "b", "c"})
	for range rapid.IntRange(20, 120).Draw(rt, "steps") {
		var bad string
		switch rapid.IntRange(0, 9).Draw(rt, "action") {
		case 0, 1: // a look-up issues a ticket
			vm := vms.Draw(rt, "vm")
			life := ticketLife + time.Duration(rapid.IntRange(-2, 6).Draw(rt, "clock"))*time.Second
			sy.tickets = append(sy.tickets, &ticketState{ticket: dedup.Ticket{
				Process: id.VMIncarnation{VM: vm, Incarnation: sy.incs[vm]}, Expiry: sy.now.Add(life),
				Request: id.Request(fmt.Sprintf("%032x", len(sy.tickets))),
			}})
		case 2: // time passes
			sy.now = sy.now.Add(time.Duration(rapid.SampledFrom([]int{10, 500, 3000, 7000, 30000}).Draw(rt, "ms")) * time.Millisecond)
		case 3: // restart
			if rapid.IntRange(0, 3).Draw(rt, "rare") == 0 {
				sy.start(vms.Draw(rt, "vm"))
			}
		case 4: // a job ends: the target responds or refuses, or the connection is lost
			if len(sy.jobs) > 0 {
				bad = sy.end(rt, rapid.IntRange(0, len(sy.jobs)-1).Draw(rt, "job"))
			}
		case 5: // a request reads the clock and is then delayed
			if len(sy.tickets) > 0 {
				sy.late = append(sy.late, arrival{ts: sy.draw(rt), at: sy.now})
			}
		case 6: // the request that was delayed longest continues
			if len(sy.late) > 0 {
				ar := sy.late[0]
				sy.late = sy.late[1:]
				if sy.now.Sub(ar.at) < longestRequest {
					bad = sy.request(ar.ts, ar.ts.ticket.Process.VM, ar.at, rapid.Bool().Draw(rt, "refuse"), true)
				}
			}
		default: // a request arrives, one in six at a random VM
			if len(sy.tickets) > 0 {
				ts := sy.draw(rt)
				vm := ts.ticket.Process.VM
				if rapid.IntRange(0, 5).Draw(rt, "stray") == 0 {
					vm = vms.Draw(rt, "vm")
				}
				bad = sy.request(ts, vm, sy.now, rapid.IntRange(0, 2).Draw(rt, "refuse") == 0, rapid.Bool().Draw(rt, "send"))
			}
		}
		if bad != "" {
			return bad
		}
	}
	return ""
}

// draw returns one of the nine newest tickets, so that duplicates are frequent.
func (sy *system) draw(rt *rapid.T) *ticketState {
	n := len(sy.tickets)
	return sy.tickets[n-1-rapid.IntRange(0, min(n-1, 8)).Draw(rt, "ticket")]
}

// end ends the job with the given index with a random result.
func (sy *system) end(rt *rapid.T, nr int) string {
	jb := sy.jobs[nr]
	sy.jobs = append(sy.jobs[:nr:nr], sy.jobs[nr+1:]...)
	if !jb.sent {
		return sy.finish(jb, dedup.Response{Outcome: dedup.NotRun, Reason: dedup.DialFailed, Status: 503})
	}
	rs := rapid.SampledFrom([]dedup.Response{
		{Outcome: dedup.Done, Status: 200, Body: []byte("ok"), Stored: true},
		{Outcome: dedup.Unknown, Reason: dedup.ConnectionLost, Status: 502},
		{Outcome: dedup.NotRun, Reason: dedup.TargetRefused, Status: 503},
	}).Draw(rt, "result")
	if rs.Reason == dedup.TargetRefused {
		jb.ts.runs--
	}
	return sy.finish(jb, rs)
}

// Guards against work that runs twice, and against the outcome not_run for work that ran. The simulation includes duplicates,
// delays past the expiry, restarts, several VMs, full tables and refusals.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if bad := newSystem(variant{}).run(rt); bad != "" {
			rt.Fatal(bad)
		}
	})
}

// Guards against an oracle that misses violations: it must find each of the deliberate faults.
func TestOracleFindsFaults(t *testing.T) {
	for name, va := range map[string]variant{
		"a check before the table answers not_run":                       {checkFirst: true},
		"a ticket is forgotten at its expiry":                            {forgetAtExpiry: true},
		"a ticket is forgotten at its expiry and clock readings go back": {bareClock: true},
	} {
		t.Run(name, func(t *testing.T) {
			found := map[string]int{}
			rapid.Check(t, func(rt *rapid.T) {
				if bad := newSystem(va).run(rt); bad != "" {
					found[bad]++
				}
			})
			if len(found) == 0 {
				t.Error("the oracle did not find the fault")
			}
			t.Log(found)
		})
	}
}

// Guards against a backward step of the wall clock that makes a forgotten ticket valid again, and against a forward step after
// which the table rejects new tickets because its own clock did not follow.
func TestClockSteps(t *testing.T) {
	tb := dedup.NewTable(sample().Process, tableSize)
	tb.SetLimits(ticketLife, longestRequest)
	tk := sample()
	before := tk.Expiry.Add(-time.Second)
	tb.Begin(before, tk, 1).(*dedup.Claim).Finish(before, dedup.Response{Outcome: dedup.Done})
	tb.Expire(before.Add(time.Hour))
	if got := tb.Begin(before, tk, 1); got != (dedup.Reject{Reason: dedup.TicketExpired}) || tb.Len() != 0 {
		t.Errorf("after a backward step of the clock, Begin returned %v with %d tickets, want ticket_expired with 0", got, tb.Len())
	}
	tk.Expiry = tk.Expiry.Add(time.Hour)
	if _, ok := tb.Begin(before.Add(time.Hour), tk, 1).(*dedup.Claim); !ok {
		t.Error("a valid ticket is not accepted after a forward step of the clock")
	}
}

// bareTable is a faulty table. Unlike dedup.Table it has no clock of its own, and it forgets tickets at their expiry.
type bareTable struct{ entries map[id.Request]*bareEntry }

type bareEntry struct {
	expiry   time.Time
	finished *dedup.Response
}

// bareClaim is the claim of a bareTable.
type bareClaim struct {
	dedup.Decision
	en *bareEntry
}

func (cl bareClaim) Finish(_ time.Time, rs dedup.Response) { cl.en.finished = &rs }

func (tb *bareTable) begin(now time.Time, tk dedup.Ticket) dedup.Decision {
	for rq, en := range tb.entries {
		if !en.expiry.After(now) {
			delete(tb.entries, rq)
		}
	}
	if en, ok := tb.entries[tk.Request]; ok {
		if en.finished == nil {
			return dedup.Reject{Reason: dedup.TableFull}
		}
		return dedup.Reject{Reason: dedup.Timeout}
	}
	if !tk.Expiry.After(now) {
		return dedup.Reject{Reason: dedup.Timeout}
	}
	en := &bareEntry{expiry: tk.Expiry}
	tb.entries[tk.Request] = en
	return bareClaim{en: en}
}
