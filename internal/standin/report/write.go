package report

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"

	"damasklatch/internal/standin/record"

	"github.com/pkg/errors"
)

// Fixed is a number that is written with a fixed number of decimals: three as text, six as JSON.
type Fixed float64

// MarshalJSON writes six decimals, so that a fraction just below an objective is not rounded up to it.
func (fx Fixed) MarshalJSON() ([]byte, error) {
	return strconv.AppendFloat(nil, float64(fx), 'f', 6, 64), nil
}

// String returns the number with three decimals.
func (fx Fixed) String() string { return strconv.FormatFloat(float64(fx), 'f', 3, 64) }

// Write writes the report to w: text and tables, and one JSON object as the last line.
func (rs *Result) Write(w io.Writer) error {
	var buf bytes.Buffer
	rs.writeSummary(&buf)
	rs.writeTables(&buf)
	line, err := json.Marshal(rs)
	if err != nil {
		return errors.Wrap(err, "encode report")
	}
	buf.Write(append(line, '\n'))
	_, err = buf.WriteTo(w)
	return errors.Wrap(err, "write report")
}

// writeSummary writes the figures of the whole run.
func (rs *Result) writeSummary(w io.Writer) {
	fmt.Fprintf(w, "%d requests through %d entry VMs in %d tries: %d answered, %d not run, %d unknown\n",
		rs.Requests, rs.VMs, rs.Tries, rs.Answered, rs.NotRun, rs.Unknown)
	fmt.Fprintf(w, "latency of answered requests without transfers: p50 %.3f ms, p99 %.3f ms\n\n", rs.P50Ms, rs.P99Ms)
	tw := newTable(w)
	for _, row := range []struct {
		name  string
		value int
	}{
		{"non-idempotent requests run twice", rs.NonIdempotentRunTwice},
		{"not_run said of requests that started", rs.FalseNotRun},
		{"answers without a run", rs.AnsweredWithoutRun},
		{"requests with a key seen by targets", rs.KeysSeenByTargets},
		{"incomplete answers that looked complete", rs.IncompleteAnswers},
		{"answers visibly interrupted", rs.InterruptedAnswers},
		{"crossed answers", rs.CrossedAnswers},
		{"refusals by rate", rs.RateRefusals},
		{"wrongful refusals", rs.WrongfulRefusals},
		{"wrongful refusals of teams within their limits", rs.WithinLimits.WrongfulRefusals},
		{"requests to a target 2 s after its drain", rs.DrainedLateRequests},
		{"least headroom of a region", rs.RegionHeadroom},
		{"duplicates sent", rs.DuplicatesSent},
	} {
		fmt.Fprintf(tw, "%s\t%d\n", row.name, row.value)
	}
	flush(tw)
}

// writeTables writes the tables of teams, routes, targets, seconds and reasons.
func (rs *Result) writeTables(w io.Writer) {
	tw := newTable(w)
	fmt.Fprintln(tw, "team\toffered\tentitled\tanswered\tfraction\trate refusals\twrongful\tadmitted\tmost over limit")
	for _, tm := range rs.Teams {
		excess := "-"
		if tm.Limited {
			excess = tm.Excess.String()
		}
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%.4f\t%d\t%d\t%d\t%s\n", tm.Team, tm.Offered, tm.Entitled, tm.Answered,
			tm.Goodput, tm.RateRefusals, tm.Wrongful, tm.Admitted, excess)
	}
	flush(tw)
	tw = newTable(w)
	fmt.Fprintln(tw, "route\trequests\tanswered\tnot run\tunknown\tp50 ms\tp99 ms\tmax ms")
	for _, rt := range rs.Routes {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%.3f\t%.3f\t%.3f\n", rt.Route, rt.Requests, rt.Answered, rt.NotRun,
			rt.Unknown, rt.P50Ms, rt.P99Ms, rt.MaxMs)
	}
	flush(tw)
	tw = newTable(w)
	fmt.Fprintln(tw, "target\tran\tcanceled\trefused\tdrained\tlate after drain")
	for _, tg := range rs.Targets {
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%t\t%d\n", tg.Target, tg.Ran, tg.Canceled, tg.Refused, tg.Drained, tg.LateAfterDrain)
	}
	flush(tw)
	tw = newTable(w)
	fmt.Fprintln(tw, "second\trequests\tanswered\tnot run\tunknown\twrongful within limits")
	for nr, sr := range rs.Seconds {
		fmt.Fprintf(tw, "%d\t%d\t%d\t%d\t%d\t%d\n", nr, sr.Requests, sr.Answered, sr.NotRun, sr.Unknown, sr.Wrongful)
	}
	flush(tw)
	tw = newTable(w)
	fmt.Fprintln(tw, "tries not answered\treason\tcount")
	for _, rc := range rs.Reasons {
		fmt.Fprintf(tw, "%s\t%s\t%d\n", rc.Outcome, rc.Reason, rc.Tries)
	}
	flush(tw)
}

// newTable returns a writer that aligns the columns of a table.
func newTable(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 0, 2, ' ', 0) }

// flush ends a table with an empty line. It ignores errors, as the table is written to a buffer that never fails.
func flush(tw *tabwriter.Writer) {
	fmt.Fprintln(tw)
	_ = tw.Flush()
}

// ComputeFromFiles appends the records in the named files of callers and targets to in, and evaluates the run. It
// returns an error if a file can't be read or a record is invalid.
func ComputeFromFiles(in *Input, callers, targets []string) (*Result, error) {
	for _, name := range callers {
		ops, err := record.ReadFile[record.Operation](name)
		if err != nil {
			return nil, err
		}
		in.Operations = append(in.Operations, ops...)
	}
	for _, name := range targets {
		wks, err := record.ReadFile[record.Work](name)
		if err != nil {
			return nil, err
		}
		in.Work = append(in.Work, wks...)
	}
	return Compute(in)
}
