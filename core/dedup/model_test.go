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
	ticketLife = 6 * time.Second
	longest    = 20 * time.Second
	tableSize  = 6
)

// variant selects a deliberate fault, to show that the oracle finds it.
type variant struct {
	checkFirst     bool // a check before the table answers not_run
	forgetAtExpiry bool // finished tickets are forgotten at their expiry
	bareClock      bool // as forgetAtExpiry, and a clock reading from before the last one is taken as it is
}

// told is what the oracle knows about one ticket.
type told struct {
	ticket   dedup.Ticket
	runs     int
	notRun   bool
	claimed  bool
	finished *dedup.Response // at the process that the ticket names
	lost     bool            // the process was restarted
}

type job struct {
	td *told
	cl claim
	vm id.VM
	// sent tells that a target may have run it.
	sent bool
}

type claim interface {
	Finish(now time.Time, rs dedup.Response)
}

type system struct {
	va      variant
	now     time.Time
	tables  map[id.VM]*dedup.Table
	bare    map[id.VM]*bareTable
	incs    map[id.VM]id.Incarnation
	tickets []*told
	jobs    []*job
	// late holds clock readings of requests that were stopped between reading the clock and reaching the table.
	late []arrival
}

type arrival struct {
	td *told
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

func (sy *system) start(vm id.VM) {
	sy.incs[vm]++
	tb := dedup.NewTable(id.VMIncarnation{VM: vm, Incarnation: sy.incs[vm]}, tableSize)
	keep := longest
	if sy.va.forgetAtExpiry {
		keep = 0
	}
	tb.SetLimits(ticketLife, keep)
	sy.tables[vm] = tb
	sy.bare[vm] = &bareTable{entries: map[id.Request]*bareEntry{}}
	for _, td := range sy.tickets {
		td.lost = td.lost || td.ticket.Process.VM == vm
	}
	var keepJobs []*job
	for _, jb := range sy.jobs {
		if jb.vm != vm {
			keepJobs = append(keepJobs, jb)
		}
	}
	sy.jobs = keepJobs
}

func (sy *system) begin(vm id.VM, now time.Time, tk dedup.Ticket) dedup.Decision {
	if sy.va.bareClock && tk.Process == (id.VMIncarnation{VM: vm, Incarnation: sy.incs[vm]}) {
		return sy.bare[vm].begin(now, tk)
	}
	return sy.tables[vm].Begin(now, tk, 1)
}

// request delivers a copy of the ticket to a VM and returns a message if the response contradicts the rules.
func (sy *system) request(td *told, vm id.VM, at time.Time, refuse, send bool) string {
	if sy.va.checkFirst && refuse {
		return sy.respond(td, dedup.Response{Outcome: dedup.NotRun, Reason: dedup.RateExceeded})
	}
	before := len(sy.jobs)
	switch dc := sy.begin(vm, at, td.ticket).(type) {
	case dedup.Reject:
		if dc.Reason == dedup.TicketExpired && td.finished != nil && !td.lost && sy.now.Before(td.ticket.Expiry.Add(longest)) {
			return "the outcome was forgotten before the expiry plus the longest request"
		}
		return sy.respond(td, dedup.Response{Outcome: dedup.Unknown, Reason: dc.Reason})
	case *dedup.Duplicate:
		select {
		case <-dc.Done():
			_, rs := dc.Result()
			return sy.respond(td, rs)
		default:
			return ""
		}
	case *dedup.Claim:
		return sy.claimed(&job{td: td, cl: dc, vm: vm}, refuse, send)
	case bareClaim:
		return sy.claimed(&job{td: td, cl: dc, vm: vm}, refuse, send)
	}
	return fmt.Sprintf("no decision, %d jobs", before)
}

func (sy *system) claimed(jb *job, refuse, send bool) string {
	jb.td.claimed = true
	if refuse {
		return sy.finish(jb, dedup.Response{Outcome: dedup.NotRun, Reason: dedup.RateExceeded, Status: 429})
	}
	if send {
		jb.sent = true
		jb.td.runs++
	}
	sy.jobs = append(sy.jobs, jb)
	return sy.verdict(jb.td)
}

func (sy *system) finish(jb *job, rs dedup.Response) string {
	jb.cl.Finish(sy.now, rs)
	jb.td.finished = &rs
	return sy.respond(jb.td, rs)
}

func (sy *system) respond(td *told, rs dedup.Response) string {
	td.notRun = td.notRun || rs.Outcome == dedup.NotRun
	if td.finished != nil && !td.lost && rs.Reason != dedup.WrongVM && rs.Outcome != dedup.Unknown &&
		rs.Outcome != td.finished.Outcome {
		return fmt.Sprintf("a duplicate got %s, the first request %s", rs.Outcome, td.finished.Outcome)
	}
	return sy.verdict(td)
}

// verdict is the oracle.
func (sy *system) verdict(td *told) string {
	switch {
	case td.runs > 1:
		return fmt.Sprintf("the work of one ticket ran %d times", td.runs)
	case td.runs > 0 && td.notRun:
		return "a response said not_run and a target ran the work"
	}
	return ""
}

// run draws a history and returns the first contradiction.
func (sy *system) run(rt *rapid.T) string {
	vms := rapid.SampledFrom([]id.VM{"a", "b", "c"})
	for range rapid.IntRange(20, 120).Draw(rt, "steps") {
		var bad string
		switch rapid.IntRange(0, 9).Draw(rt, "action") {
		case 0, 1: // a look-up issues a ticket
			vm := vms.Draw(rt, "vm")
			life := ticketLife + time.Duration(rapid.IntRange(-2, 6).Draw(rt, "clock"))*time.Second
			sy.tickets = append(sy.tickets, &told{ticket: dedup.Ticket{
				Process: id.VMIncarnation{VM: vm, Incarnation: sy.incs[vm]}, Expiry: sy.now.Add(life),
				Request: id.Request(fmt.Sprintf("%032x", len(sy.tickets))),
			}})
		case 2:
			sy.now = sy.now.Add(time.Duration(rapid.SampledFrom([]int{10, 500, 3000, 7000, 30000}).Draw(rt, "ms")) * time.Millisecond)
		case 3: // restart
			if rapid.IntRange(0, 3).Draw(rt, "rare") == 0 {
				sy.start(vms.Draw(rt, "vm"))
			}
		case 4: // a target responds, refuses, or its connection breaks
			if len(sy.jobs) > 0 {
				bad = sy.end(rt, rapid.IntRange(0, len(sy.jobs)-1).Draw(rt, "job"))
			}
		case 5: // a request reads the clock and is delayed
			if len(sy.tickets) > 0 {
				sy.late = append(sy.late, arrival{td: sy.draw(rt), at: sy.now})
			}
		case 6: // and goes on
			if len(sy.late) > 0 {
				ar := sy.late[0]
				sy.late = sy.late[1:]
				if sy.now.Sub(ar.at) < longest {
					bad = sy.request(ar.td, ar.td.ticket.Process.VM, ar.at, rapid.Bool().Draw(rt, "refuse"), true)
				}
			}
		default:
			if len(sy.tickets) > 0 {
				td := sy.draw(rt)
				vm := td.ticket.Process.VM
				if rapid.IntRange(0, 5).Draw(rt, "stray") == 0 {
					vm = vms.Draw(rt, "vm")
				}
				bad = sy.request(td, vm, sy.now, rapid.IntRange(0, 2).Draw(rt, "refuse") == 0, rapid.Bool().Draw(rt, "send"))
			}
		}
		if bad != "" {
			return bad
		}
	}
	return ""
}

// draw prefers recent tickets, so that duplicates are frequent.
func (sy *system) draw(rt *rapid.T) *told {
	n := len(sy.tickets)
	return sy.tickets[n-1-rapid.IntRange(0, min(n-1, 8)).Draw(rt, "ticket")]
}

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
		jb.td.runs--
	}
	return sy.finish(jb, rs)
}

// Guards against work that runs twice and against a not_run that is not true, over duplicates, delays past the
// expiry, restarts, several VMs, full tables and refusals.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if bad := newSystem(variant{}).run(rt); bad != "" {
			rt.Fatal(bad)
		}
	})
}

// Shows that the oracle finds the faults that the rules exclude.
func TestOracleFindsFaults(t *testing.T) {
	for name, va := range map[string]variant{
		"a check before the table answers not_run":           {checkFirst: true},
		"a ticket is forgotten at its expiry":                {forgetAtExpiry: true},
		"forgotten at expiry, with unordered clock readings": {bareClock: true},
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

// Guards against a step of the wall clock that revives a forgotten ticket, and against one that leaves the table behind.
func TestClockSteps(t *testing.T) {
	tb := dedup.NewTable(sample().Process, tableSize)
	tb.SetLimits(ticketLife, longest)
	tk := sample()
	before := tk.Expiry.Add(-time.Second)
	tb.Begin(before, tk, 1).(*dedup.Claim).Finish(before, dedup.Response{Outcome: dedup.Done})
	tb.Expire(before.Add(time.Hour))
	if got := tb.Begin(before, tk, 1); got != (dedup.Reject{Reason: dedup.TicketExpired}) || tb.Len() != 0 {
		t.Errorf("after a step back: %v, %d tickets", got, tb.Len())
	}
	tk.Expiry = tk.Expiry.Add(time.Hour)
	if _, ok := tb.Begin(before.Add(time.Hour), tk, 1).(*dedup.Claim); !ok {
		t.Error("a ticket is refused after a step forward")
	}
}

// bareTable is a table without the clock of its own that Table has, and forgets tickets at their expiry.
type bareTable struct{ entries map[id.Request]*bareEntry }

type bareEntry struct {
	expiry   time.Time
	finished *dedup.Response
}

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
