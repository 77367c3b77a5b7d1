package cli

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"strconv"
	"time"
)

// Losses prints how many requests got no response in time, by cause and by a property of the requests.
type Losses struct {
	OutputOptions
	Files  []string      `arg:"positional,required" placeholder:"FILE" help:"logs of gateways, JSON lines, - for standard input"`
	By     string        `arg:"--by" default:"window" help:"property of the rows: window, route, team, pool, vm or failure_domain"`
	Window time.Duration `arg:"--window" default:"2s" help:"length of the windows"`
}

// Examples implements Command.
func (*Losses) Examples() []string {
	return []string{
		"damasklatch losses --by route north-a-1.log north-a-2.log",
		"damasklatch losses --window 10s - <all.log",
	}
}

// unknownCause counts the requests of which the logs tell no cause, because lines were dropped.
const unknownCause = "unknown"

// lossCount is the number of requests that were lost for a cause.
type lossCount struct {
	Row   string `json:"row"`
	Cause string `json:"cause"`
	Count int    `json:"count"`
}

// lossTable counts lost requests by row and cause.
type lossTable struct {
	counts map[lossKey]int
	rows   []string
	causes []string
}

type lossKey struct{ row, cause string }

// add counts lost requests. Rows and causes keep the order in which they first appear.
func (lt *lossTable) add(row, cause string, count int) {
	if !slices.Contains(lt.rows, row) {
		lt.rows = append(lt.rows, row)
	}
	if !slices.Contains(lt.causes, cause) {
		lt.causes = append(lt.causes, cause)
	}
	lt.counts[lossKey{row, cause}] += count
}

// sumOf returns the number of requests that were lost for a cause.
func (lt *lossTable) sumOf(cause string) int {
	sum := 0
	for _, row := range lt.rows {
		sum += lt.counts[lossKey{row, cause}]
	}
	return sum
}

// Run implements Command.
func (ls *Losses) Run(_ context.Context, ev *Env) error {
	if _, err := ls.format(); err != nil {
		return err
	}
	if ls.Window <= 0 {
		return inputErrorf("--window: %s is not a positive duration", ls.Window)
	}
	lines, err := readLogs(ev, ls.Files)
	if err != nil {
		return err
	}
	lt := &lossTable{counts: map[lossKey]int{}}
	start := firstTime(lines)
	for nr := range lines {
		if err := ls.count(lt, &lines[nr], start); err != nil {
			return err
		}
	}
	ls.print(ev, lt.list(), func() { lt.write(ev) })
	return nil
}

// firstTime returns the time of the first line that has one.
func firstTime(lines []logLine) time.Time {
	at := slices.IndexFunc(lines, func(ln logLine) bool { return !ln.Time.IsZero() })
	if at < 0 {
		return time.Time{}
	}
	return lines[at].Time
}

// count counts the requests that a line of a log reports as lost. The first window begins at start.
func (ls *Losses) count(lt *lossTable, ln *logLine, start time.Time) error {
	if ln.Loss == "" && ln.Message != droppedMessage {
		return nil
	}
	row, err := ls.row(ln, start)
	if err != nil {
		return err
	}
	if ln.Loss != "" {
		lt.add(row, ln.Loss, 1)
	} else {
		lt.add(row, unknownCause, ln.Count)
	}
	return nil
}

// droppedMessage is the message of the line that counts dropped lines.
const droppedMessage = "log lines were dropped"

// row returns the name of the row to which a line belongs.
func (ls *Losses) row(ln *logLine, start time.Time) (string, error) {
	switch ls.By {
	case "window":
		if ln.Time.IsZero() {
			return "", nil // the line that counts dropped lines has no time
		}
		window := ln.Time.Sub(start).Truncate(ls.Window)
		return strconv.FormatFloat(window.Seconds(), 'f', -1, 64) + "s", nil
	case "route":
		return ln.Route, nil
	case "team":
		return ln.Team, nil
	case "pool":
		return ln.Pool, nil
	case "vm":
		return ln.VM, nil
	case "failure_domain":
		return ln.TargetFailureDomain, nil
	default:
		return "", inputErrorf("--by: %q is not one of window, route, team, pool, vm, failure_domain", ls.By)
	}
}

// list returns the counts by row and cause, without zeros.
func (lt *lossTable) list() []lossCount {
	var all []lossCount
	for _, row := range lt.rows {
		for _, cause := range lt.causes {
			if count := lt.counts[lossKey{row, cause}]; count > 0 {
				all = append(all, lossCount{row, cause, count})
			}
		}
	}
	return all
}

// write prints a row for each row of the table and a last one with the sums. Frequent causes come first.
func (lt *lossTable) write(ev *Env) {
	slices.SortStableFunc(lt.causes, func(aa, bb string) int { return cmp.Compare(lt.sumOf(bb), lt.sumOf(aa)) })
	var rows [][]string
	for _, row := range lt.rows {
		cells := []string{row}
		for _, cause := range lt.causes {
			cells = append(cells, countCell(lt.counts[lossKey{row, cause}]))
		}
		rows = append(rows, cells)
	}
	sums := []string{"sum"}
	for _, cause := range lt.causes {
		sums = append(sums, countCell(lt.sumOf(cause)))
	}
	writeTable(ev.Stdout, append([]string{"row"}, lt.causes...), append(rows, sums))
}

// countCell returns a count as a table cell, which is empty for zero.
func countCell(count int) string {
	if count == 0 {
		return ""
	}
	return fmt.Sprint(count)
}
