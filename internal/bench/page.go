package bench

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"

	"github.com/pkg/errors"
)

// pageCommand writes a Markdown page from result files and test logs.
type pageCommand struct {
	Results []string `arg:"positional,required" help:"result files"`
	Tests   []string `arg:"--tests,separate" help:"logs of go test -v; the first line is the command"`
	Notes   string   `arg:"--notes" help:"text for the end of the page, such as what was not run"`
	Plots   string   `arg:"--plots" help:"directory of plots to link to"`
	Page    string   `arg:"--page" default:"docs/MEASUREMENTS.md" help:"file to write"`
}

const pageHead = `# Measurements

` + "`make bench`" + ` writes this page. Every figure comes from the run whose command, start time and load average stand
above its table. The machine is shared: a load average (1, 5 and 15 minutes) well above one at the start means that
other work ran beside or shortly before the measurement, and its figures are then pessimistic. A target is a bound that docs/design.md states, and the column
"met" compares it with the median. Values of single repeats are in the result files that the command writes.
`

func (cm *pageCommand) run() error {
	var page bytes.Buffer
	page.WriteString(pageHead)
	for _, name := range cm.Results {
		rs, err := ReadResult(name)
		if err != nil {
			return err
		}
		rs.writeSection(&page)
		cm.linkPlots(&page, rs)
	}
	for _, name := range cm.Tests {
		if err := writeTestSection(&page, name); err != nil {
			return err
		}
	}
	if cm.Notes != "" {
		notes, err := os.ReadFile(cm.Notes)
		if err != nil {
			return errors.Wrap(err, "read notes")
		}
		fmt.Fprintf(&page, "\n%s", notes)
	}
	return errors.Wrap(os.WriteFile(cm.Page, page.Bytes(), 0o644), "write page")
}

// writeSection writes a section with the figures of the result.
func (rs *Result) writeSection(page *bytes.Buffer) {
	fmt.Fprintf(page, "\n## %s%s\n\n", strings.ToUpper(rs.Measurement[:1]), rs.Measurement[1:])
	fmt.Fprintf(page, "Command: `%s`, started at %s, %d repeats, %s, %d CPUs, load average %s.\n\nMethod: %s.\n\n", rs.Command,
		rs.Environment.Time.Format("2006-01-02 15:04 UTC"), rs.Repeats, rs.Environment.Go, rs.Environment.CPUs, rs.Environment.LoadAverage, rs.Method)
	page.WriteString("| figure | unit | median | min | max | target | met |\n|---|---|---:|---:|---:|---|---|\n")
	for _, sr := range rs.Series {
		fmt.Fprintf(page, "| %s | %s | %s | %s | %s | %s | %s |\n", sr.Name, sr.Unit, format(sr.Median), format(sr.Min), format(sr.Max),
			sr.Target, sr.targetMet())
	}
}

// linkPlots writes a link to each plot of the result.
func (cm *pageCommand) linkPlots(page *bytes.Buffer, rs *Result) {
	if cm.Plots == "" {
		return
	}
	dir, err := filepath.Rel(filepath.Dir(cm.Page), cm.Plots)
	if err != nil {
		dir = cm.Plots
	}
	linked := make(map[string]bool)
	for _, cv := range rs.Curves {
		if !linked[cv.Plot] {
			fmt.Fprintf(page, "\n![%s](%s/%s.png)\n", cv.YLab, filepath.ToSlash(dir), cv.Plot)
			linked[cv.Plot] = true
		}
	}
}

// testLine matches a line that a test logged. verdictLine matches the outcome of a failed or skipped test, or of a package.
var (
	testLine    = regexp.MustCompile(`^\s+\w+_test\.go:\d+: (.*)$`)
	verdictLine = regexp.MustCompile(`^(?:--- (?:FAIL|SKIP)|ok|FAIL)\b`)
)

// writeTestSection writes a section with the lines that tests logged and the outcomes, from the log of go test -v.
func writeTestSection(page *bytes.Buffer, name string) error {
	src, err := os.ReadFile(name)
	if err != nil {
		return errors.Wrap(err, "read test log")
	}
	command, rest, _ := strings.Cut(string(src), "\n")
	fmt.Fprintf(page, "\n## Figures that tests log: `%s`\n\n", command)
	page.WriteString("Each line is one run (a line may hold a median of its own repeats, as it says); fixed seeds repeat it exactly where no real time is involved.\n\n```\n")
	for line := range strings.Lines(rest) {
		line = strings.TrimRight(line, "\n")
		if found := testLine.FindStringSubmatch(line); found != nil {
			fmt.Fprintln(page, found[1])
		} else if verdictLine.MatchString(line) {
			fmt.Fprintln(page, line)
		}
	}
	page.WriteString("```\n")
	return nil
}
