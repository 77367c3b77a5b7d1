package cli

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Explain shows the log lines of a request together with the changes that its VM logged shortly before.
type Explain struct {
	Request string        `arg:"positional,required" placeholder:"ID" help:"id of the request"`
	Files   []string      `arg:"positional,required" placeholder:"FILE" help:"logs of gateways, JSON lines, - for standard input"`
	Before  time.Duration `arg:"--before" default:"10s" help:"how far before the request lines on changes are shown"`
}

// Examples implements Command.
func (*Explain) Examples() []string {
	return []string{"damasklatch explain 9c41d07be2a35f68 north-a-1.log north-a-2.log"}
}

// logLine is a line of a gateway's log. text is the whole JSON object.
type logLine struct {
	Time      time.Time `json:"time"`
	Message   string    `json:"msg"`
	VM        string    `json:"vm"`
	RequestID string    `json:"request_id"`
	Loss      string    `json:"loss"`
	Route     string    `json:"route"`
	Team      string    `json:"team"`
	Pool      string    `json:"pool"`
	Count     int       `json:"count"` // dropped lines
	// TargetFailureDomain is the failure domain of the target of the last attempt.
	TargetFailureDomain string `json:"target_failure_domain"`
	text                string
	// Leaving and PauseMS are what a target has said about itself, in a line on a notice.
	Leaving bool  `json:"leaving"`
	PauseMS int64 `json:"pause_ms"`
}

// noticeMessage begins the lines on notices of targets.
const noticeMessage = "target wants no requests"

// inEffect reports whether the line is on a notice of a target that still holds at a later time. That of a target that leaves holds as
// long as its process is registered, which the log does not tell.
func (ln *logLine) inEffect(at time.Time) bool {
	return ln.Message == noticeMessage && (ln.Leaving || at.Sub(ln.Time) <= time.Duration(ln.PauseMS)*time.Millisecond)
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Run implements Command.
func (ex *Explain) Run(_ context.Context, ev *Env) error {
	all, err := readLogs(ev, ex.Files)
	if err != nil {
		return err
	}
	found := ex.selectLines(all)
	if len(found) == 0 {
		return inputErrorf("no line has the request_id %q; requests that meet their latency objective are logged at level debug only", ex.Request)
	}
	for _, ln := range found {
		fmt.Fprintln(ev.Stdout, ln.text)
	}
	return nil
}

// readLogs reads the logs of several gateways and returns their lines by time.
func readLogs(ev *Env, files []string) ([]logLine, error) {
	var all []logLine
	for _, file := range files {
		src, err := readFile(ev, file)
		if err != nil {
			return nil, err
		}
		lines, err := parseLog(file, src)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	slices.SortStableFunc(all, func(aa, bb logLine) int { return aa.Time.Compare(bb.Time) })
	return all, nil
}

// parseLog parses a log with one JSON object per line. It ignores the text before the first brace of a line, and lines
// without a brace.
func parseLog(file string, src []byte) ([]logLine, error) {
	var all []logLine
	sc := bufio.NewScanner(bytes.NewReader(src))
	sc.Buffer(nil, maxLineBytes)
	for nr := 1; sc.Scan(); nr++ {
		_, text, ok := strings.Cut(sc.Text(), "{")
		if !ok {
			continue
		}
		ln := logLine{text: "{" + text}
		if err := json.Unmarshal([]byte(ln.text), &ln); err != nil {
			return nil, inputErrorf("%s:%d: %v", file, nr, err)
		}
		all = append(all, ln)
	}
	if err := sc.Err(); err != nil {
		return nil, inputErrorf("%s: %v", file, err)
	}
	return all, nil
}

// selectLines returns the lines of the request, and the lines without a request_id that the same VMs logged up to Before
// earlier. Of targets that had said earlier that they leave or pause, it returns those whose notice was in effect and that are in the
// pool of the request.
func (ex *Explain) selectLines(all []logLine) []logLine {
	last, pools := map[string]time.Time{}, map[string]string{}
	for _, ln := range all {
		if ln.RequestID == ex.Request {
			last[ln.VM], pools[ln.VM] = ln.Time, ln.Pool
		}
	}
	var found []logLine
	for _, ln := range all {
		at, ok := last[ln.VM]
		switch {
		case ln.RequestID == ex.Request:
			found = append(found, ln)
		case !ok || ln.RequestID != "" || ln.Time.After(at):
		case at.Sub(ln.Time) <= ex.Before, ln.inEffect(at) && ln.Pool == pools[ln.VM]:
			found = append(found, ln)
		}
	}
	return found
}
