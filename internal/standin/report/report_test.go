package report_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/core/unit"
	_ "damasklatch/internal/fixedseed"
	"damasklatch/internal/standin/record"
	"damasklatch/internal/standin/report"

	"github.com/google/go-cmp/cmp"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

var update = flag.Bool("update", false, "write the golden files")

// testStart is the scheduled start of the first operation in Unix nanoseconds.
const testStart = int64(1_800_000_000) * int64(time.Second)

// ms returns the time n milliseconds after testStart.
func ms(n int64) int64 { return testStart + n*int64(time.Millisecond) }

// Guards against a report that does not show that a region was overloaded.
func TestRegionHeadroom(t *testing.T) {
	in := faultlessInput()
	in.Regions = []config.Region{{Name: "north", Capacity: 2}, {Name: "south", Capacity: 9}}
	in.FailureDomains = []config.FailureDomain{{Name: "north-a", Region: "north"}}
	for _, tc := range []struct{ from, to, want int64 }{{0, 0, 1}, {1, 3, 0}, {2, 4, -1}} {
		in.Work = append(in.Work, record.Work{
			Kind: record.KindWork, FailureDomain: "north-a", ArrivedAt: ms(60_000 + tc.from), StartedAt: ms(60_000 + tc.from),
			EndedAt: ms(60_010 + tc.to), RequestID: "x", Operation: "x", Outcome: record.Ran,
		})
		rs, err := report.Compute(in)
		if err != nil {
			t.Fatal(err)
		}
		if got := int64(rs.RegionHeadroom); got != tc.want {
			t.Errorf("headroom with %d requests = %d, want %d", len(in.Work), got, tc.want)
		}
	}
}

// faultlessInput returns a run without any fault. For five seconds, each of two teams starts one operation per second:
// one books (not idempotent), the other looks up lamps (idempotent).
func faultlessInput() *report.Input {
	in := &report.Input{
		Teams: []config.Team{
			{Name: "salon_app", Rate: 2 * unit.MilliPerSecond(unit.One), Burst: 4 * unit.One},
			{Name: "uv_lab", Rate: unit.MilliPerSecond(unit.One), Burst: 2 * unit.One},
		},
		Routes: []config.Route{
			{Name: "bookings", Access: config.AccessTeams},
			{Name: "lamps", Access: config.AccessTeams, Idempotent: true},
			{Name: "hours", Access: config.AccessOpen, Idempotent: true},
		},
	}
	for nr := range int64(5) {
		addOperation(in, "salon_app", "bookings", nr, ms(1000*nr), 8+nr)
		addOperation(in, "uv_lab", "lamps", nr, ms(1000*nr+500), 4)
	}
	return in
}

// addOperation adds an operation that starts at the given time and is answered after took milliseconds, with the work
// of its target.
func addOperation(in *report.Input, tm id.Team, rt id.Route, nr, at, took int64) {
	name, rid := fmt.Sprintf("%s-%s-%d", tm, rt, nr), id.Request(fmt.Sprintf("%s-%d", rt, nr))
	end := at + took*int64(time.Millisecond)
	vm := id.VM(fmt.Sprintf("north-a-%d", nr%2+1))
	in.Operations = append(in.Operations, record.Operation{
		Operation: name, Team: tm, Route: rt, Method: "POST", Idempotent: rt != "bookings", ScheduledAt: at, EndedAt: end,
		Outcome: record.Answered, Status: 200, RequestID: rid, ChecksumOK: true,
		Tries: []record.Try{{VM: vm, RequestID: rid, StartedAt: at, EndedAt: end, Outcome: record.Answered, Status: 200}},
	})
	in.Work = append(in.Work, record.Work{
		Kind: record.KindWork, Target: "desk-1", ArrivedAt: at + 1, StartedAt: at + 2, EndedAt: end - 1, RequestID: rid,
		Operation: name, Team: tm, Route: rt, Idempotent: rt != "bookings", Outcome: record.Ran,
	})
}

// markRefused changes an operation and its last try to a refusal with the given reason, and removes its work.
func markRefused(in *report.Input, nr int, reason string) {
	op := &in.Operations[nr]
	op.Outcome, op.Reason, op.Status = record.NotRun, reason, 429
	tr := &op.Tries[len(op.Tries)-1]
	tr.Outcome, tr.Reason, tr.Status = record.NotRun, reason, 429
	in.Work = slices.DeleteFunc(in.Work, func(wk record.Work) bool { return wk.Operation == op.Operation })
}

// Guards against a report that misses a violated guarantee: each kind of fault must change its own figure and no other.
func TestEachFaultIsReported(t *testing.T) {
	for _, tc := range []struct {
		name  string
		fault func(*report.Input)
		want  func(*report.Result)
	}{
		{"none", func(*report.Input) {}, func(*report.Result) {}},
		{"a duplicate ran", func(in *report.Input) {
			in.Operations[0].Tries = append(in.Operations[0].Tries, record.Try{VM: "north-a-1", RequestID: "bookings-0",
				Duplicate: true, Outcome: record.Answered})
			in.Work = append(in.Work, in.Work[0])
		}, func(rs *report.Result) { rs.Tries, rs.DuplicatesSent, rs.NonIdempotentRunTwice = 11, 1, 1 }},
		{"a second ticket of a non-idempotent operation started too", func(in *report.Input) {
			wk := in.Work[0]
			wk.RequestID, wk.Outcome = "another", record.Canceled
			in.Work = append(in.Work, wk)
		}, func(rs *report.Result) { rs.NonIdempotentRunTwice = 1 }},
		{"idempotent work ran twice, which is allowed", func(in *report.Input) { in.Work = append(in.Work, in.Work[1]) },
			func(*report.Result) {}},
		{"the outcome is not_run, but the work started and was canceled", func(in *report.Input) {
			wk := in.Work[0]
			markRefused(in, 0, "no_target")
			wk.Outcome = record.Canceled
			in.Work = append(in.Work, wk)
		}, func(rs *report.Result) { rs.Answered, rs.NotRun, rs.FalseNotRun = 9, 1, 1 }},
		{"answered, but no target ran it", func(in *report.Input) { in.Work = in.Work[1:] },
			func(rs *report.Result) { rs.AnsweredWithoutRun = 1 }},
		{"a target saw a key", func(in *report.Input) { in.Work[3].KeySeen = true },
			func(rs *report.Result) { rs.KeysSeenByTargets = 1 }},
		{"responses were crossed, incomplete and interrupted", func(in *report.Input) {
			in.Operations[0].Tries[0].Crossed = true
			in.Operations[1].Tries[0].Incomplete = true
			in.Operations[2].Tries[0].Interrupted = true
		}, func(rs *report.Result) { rs.CrossedAnswers, rs.IncompleteAnswers, rs.InterruptedAnswers = 1, 1, 1 }},
		{"work arrived exactly 2 s and more than 2 s after the start of a drain", func(in *report.Input) {
			in.Work[4].DrainingSince = in.Work[4].ArrivedAt - int64(2*time.Second)
			in.Work[5].DrainingSince = in.Work[5].ArrivedAt - int64(2*time.Second) - 1
		}, func(rs *report.Result) { rs.DrainedLateRequests = 1 }},
		{"a refusal within the limit", func(in *report.Input) { markRefused(in, 0, "rate") },
			func(rs *report.Result) { rs.Answered, rs.NotRun, rs.RateRefusals, rs.WrongfulRefusals = 9, 1, 1, 1 }},
	} {
		Convey("Given: "+tc.name, t, func() {
			in := faultlessInput()
			tc.fault(in)
			got, err := report.Compute(in)
			So(err, ShouldBeNil)
			want := &report.Result{VMs: 2, Requests: 10, Answered: 10, Tries: 10}
			tc.want(want)
			So(cmp.Diff(countsOf(want), countsOf(got)), ShouldBeEmpty)
		})
	}
}

// countsOf returns a copy of the result with only the counts of the whole run.
func countsOf(rs *report.Result) report.Result {
	return report.Result{VMs: rs.VMs, Requests: rs.Requests, Answered: rs.Answered, NotRun: rs.NotRun, Unknown: rs.Unknown,
		RateRefusals: rs.RateRefusals, WrongfulRefusals: rs.WrongfulRefusals, NonIdempotentRunTwice: rs.NonIdempotentRunTwice,
		FalseNotRun: rs.FalseNotRun, AnsweredWithoutRun: rs.AnsweredWithoutRun, KeysSeenByTargets: rs.KeysSeenByTargets,
		IncompleteAnswers: rs.IncompleteAnswers, InterruptedAnswers: rs.InterruptedAnswers, CrossedAnswers: rs.CrossedAnswers,
		Tries: rs.Tries, DuplicatesSent: rs.DuplicatesSent, DrainedLateRequests: rs.DrainedLateRequests, RegionHeadroom: rs.RegionHeadroom}
}

// Guards against two faults: refusals beyond the limit that count as wrongful, and refusals within the limit that do
// not, because a later try of the same operation was admitted.
func TestWrongfulRefusals(t *testing.T) {
	Convey("Given six requests at the same time and a burst of four", t, func() {
		in := faultlessInput()
		in.Operations, in.Work = nil, nil
		for nr := range int64(6) {
			addOperation(in, "salon_app", "bookings", nr, testStart+nr, 1)
		}

		Convey("refusals of the last two are not wrongful", func() {
			markRefused(in, 4, "rate")
			markRefused(in, 5, "rate")
			rs, err := report.Compute(in)
			So(err, ShouldBeNil)
			So([]int{rs.RateRefusals, rs.WrongfulRefusals}, ShouldResemble, []int{2, 0})
			So(rs.WorstGoodput, ShouldEqual, 1)
			So(rs.WithinLimits.Teams, ShouldEqual, 0)
		})

		Convey("a refusal of the first one is wrongful, even if another VM then admits it", func() {
			op := &in.Operations[0]
			op.Tries = slices.Insert(op.Tries, 0, record.Try{StartedAt: testStart - 1, Outcome: record.NotRun, Reason: "rate"})
			markRefused(in, 4, "rate")
			markRefused(in, 5, "rate")
			rs, err := report.Compute(in)
			So(err, ShouldBeNil)
			So([]int{rs.RateRefusals, rs.WrongfulRefusals}, ShouldResemble, []int{3, 1})
		})

		Convey("six admissions exceed the limit by two", func() {
			rs, err := report.Compute(in)
			So(err, ShouldBeNil)
			So(rs.MaxWindowExcess["salon_app"].String(), ShouldEqual, "2.000")
		})
	})
}

// Guards against a window that the single-pass computation of the excess misses. The test compares the result with the
// maximum over all windows.
func TestMaxWindowExcessAgainstAllWindows(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		in := faultlessInput()
		in.Operations, in.Work = nil, nil
		rate, burst := rapid.Int64Range(0, 5000).Draw(rt, "rate"), rapid.Int64Range(0, 5000).Draw(rt, "burst")
		in.Teams = []config.Team{{Name: "salon_app", Rate: unit.MilliPerSecond(rate), Burst: unit.Milli(burst)}}
		at, times := int64(0), []int64{}
		for nr, gap := range rapid.SliceOfN(rapid.Int64Range(0, 3000), 1, 30).Draw(rt, "gaps") {
			at += gap
			times = append(times, at)
			addOperation(in, "salon_app", "lamps", int64(nr), ms(at), 1)
		}
		most := -1e18
		for i := range times {
			for j := i; j < len(times); j++ {
				limit := float64(rate)/1000*float64(times[j]-times[i])/1000 + float64(burst)/1000
				most = max(most, float64(j-i+1)-limit)
			}
		}
		rs, err := report.Compute(in)
		if err != nil {
			rt.Fatal(err)
		}
		if diff := float64(rs.MaxWindowExcess["salon_app"]) - most; diff > 1e-6 || diff < -1e-6 {
			rt.Fatalf("excess = %v, want the maximum over all windows %v", rs.MaxWindowExcess["salon_app"], most)
		}
	})
}

// Guards against unintended changes of the text and of the JSON line that scripts parse.
func TestGolden(t *testing.T) {
	Convey("The report of a run with refusals, an unknown outcome and a transfer equals the golden file", t, func() {
		in := faultlessInput()
		addOperation(in, "salon_app", "hours", 9, ms(7000), 2)
		in.Operations[10].Transfer = true
		markRefused(in, 1, "rate")
		in.Operations[2].Outcome, in.Operations[2].Reason = record.Unknown, record.ReasonTimeout
		in.Operations[2].Tries[0].Outcome, in.Operations[2].Tries[0].Reason = record.Unknown, record.ReasonTimeout
		in.Work = append(in.Work, record.Work{Kind: record.KindDrain, Target: "desk-2"})
		rs, err := report.Compute(in)
		So(err, ShouldBeNil)
		var got bytes.Buffer
		So(rs.Write(&got), ShouldBeNil)
		file := filepath.Join("testdata", "report.golden")
		if *update {
			So(os.WriteFile(file, got.Bytes(), 0o644), ShouldBeNil)
		}
		want, err := os.ReadFile(file)
		So(err, ShouldBeNil)
		So(cmp.Diff(string(want), got.String()), ShouldBeEmpty)
	})
}
