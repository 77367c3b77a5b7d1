package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
)

// Bound is a target that the design states: an upper or a lower limit. It is never derived from measurements.
type Bound struct {
	Limit   float64 `json:"limit"`
	AtLeast bool    `json:"at_least"` // if false, Limit is an upper limit
}

func atMost(limit float64) *Bound  { return &Bound{Limit: limit} }
func atLeast(limit float64) *Bound { return &Bound{Limit: limit, AtLeast: true} }

// String returns the bound as text, "none" for nil.
func (bd *Bound) String() string {
	switch {
	case bd == nil:
		return "none"
	case bd.AtLeast:
		return "at least " + format(bd.Limit)
	default:
		return "at most " + format(bd.Limit)
	}
}

// met reports whether the value meets the target.
func (bd *Bound) met(value float64) bool {
	if bd.AtLeast {
		return value >= bd.Limit
	}
	return value <= bd.Limit
}

// Series holds the values of one measured quantity, one for each repeat.
type Series struct {
	Name   string    `json:"name"`
	Unit   string    `json:"unit"`
	Values []float64 `json:"values"`
	Median float64   `json:"median"`
	Min    float64   `json:"min"`
	Max    float64   `json:"max"`
	Target *Bound    `json:"target,omitempty"`
}

// targetMet returns "yes" if the median meets the target, "no" if it does not, and "" if there is no target.
func (sr *Series) targetMet() string {
	switch {
	case sr.Target == nil:
		return ""
	case sr.Target.met(sr.Median):
		return "yes"
	default:
		return "no"
	}
}

// Curve is one line of a plot.
type Curve struct {
	Plot string    `json:"plot"` // name of the plot; curves with the same name are drawn together
	Name string    `json:"name"`
	XLab string    `json:"x_label"`
	YLab string    `json:"y_label"`
	X    []float64 `json:"x"`
	Y    []float64 `json:"y"`
}

// Environment describes the machine at the start of a measurement.
type Environment struct {
	Time        time.Time `json:"time"`
	Go          string    `json:"go"`
	CPUs        int       `json:"cpus"`
	LoadAverage string    `json:"load_average"` // averages over 1, 5 and 15 minutes
}

func newEnvironment() Environment {
	env := Environment{Time: time.Now().UTC().Truncate(time.Second), Go: runtime.Version(), CPUs: runtime.NumCPU()}
	if src, err := os.ReadFile("/proc/loadavg"); err == nil {
		env.LoadAverage = strings.Join(strings.Fields(string(src))[:3], " ")
	}
	return env
}

// Result is the result of one measurement. Result files contain it as JSON.
type Result struct {
	Measurement string      `json:"measurement"`
	Command     string      `json:"command"`
	Method      string      `json:"method"`
	Repeats     int         `json:"repeats"`
	Environment Environment `json:"environment"`
	Series      []*Series   `json:"series"`
	Curves      []Curve     `json:"curves,omitempty"`
}

// add appends a value to the series with the name. If there is none, it creates it with the unit and the target.
func (rs *Result) add(name, unit string, target *Bound, value float64) {
	for _, sr := range rs.Series {
		if sr.Name == name {
			sr.Values = append(sr.Values, value)
			return
		}
	}
	rs.Series = append(rs.Series, &Series{Name: name, Unit: unit, Target: target, Values: []float64{value}})
}

// summarize computes the median, the minimum and the maximum of every series.
func (rs *Result) summarize() {
	for _, sr := range rs.Series {
		sr.Median, sr.Min, sr.Max = median(sr.Values), slices.Min(sr.Values), slices.Max(sr.Values)
	}
}

func median(values []float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	mid := len(sorted) / 2
	if len(sorted)%2 == 1 {
		return sorted[mid]
	}
	return (sorted[mid-1] + sorted[mid]) / 2
}

// quantile returns the quantile of sorted values for a fraction between 0 and 1.
func quantile(sorted []time.Duration, fraction float64) time.Duration {
	return sorted[min(int(float64(len(sorted))*fraction), len(sorted)-1)]
}

// format formats a value with four significant digits, or as an integer if its absolute value is 1000 or more.
func format(value float64) string {
	if value >= 1000 || value <= -1000 {
		return fmt.Sprintf("%.0f", value)
	}
	return fmt.Sprintf("%.4g", value)
}

// WriteTable prints the result as a table. If base is not nil, the table has the medians of base and the change from them.
func (rs *Result) WriteTable(out io.Writer, base *Result) {
	fmt.Fprintf(out, "%s, %d repeats, load average %s\n%s\n", rs.Measurement, rs.Repeats, rs.Environment.LoadAverage, rs.Method)
	tw := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "figure\tunit\tmedian\tmin\tmax\ttarget\tmet\tbaseline\tchange")
	for _, sr := range rs.Series {
		earlier, change := base.compare(sr)
		fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", sr.Name, sr.Unit, format(sr.Median), format(sr.Min),
			format(sr.Max), sr.Target, sr.targetMet(), earlier, change)
	}
	_ = tw.Flush()
}

// compare returns the median of the same series in the baseline rs and the change from it in percent. Both are empty if rs
// is nil or has no such series.
func (rs *Result) compare(sr *Series) (earlier, change string) {
	if rs == nil {
		return "", ""
	}
	for _, ot := range rs.Series {
		if ot.Name != sr.Name || ot.Unit != sr.Unit {
			continue
		}
		if ot.Median == 0 {
			return format(ot.Median), ""
		}
		return format(ot.Median), fmt.Sprintf("%+.1f%%", 100*(sr.Median/ot.Median-1))
	}
	return "", ""
}

// WriteFile writes the result to a JSON file and creates its directory if needed.
func (rs *Result) WriteFile(name string) error {
	src, err := json.MarshalIndent(rs, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode result")
	}
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return errors.Wrap(err, "write result")
	}
	return errors.Wrap(os.WriteFile(name, append(src, '\n'), 0o644), "write result")
}

// ReadResult reads a result from a file that WriteFile wrote.
func ReadResult(name string) (*Result, error) {
	src, err := os.ReadFile(name)
	if err != nil {
		return nil, errors.Wrap(err, "read result")
	}
	rs := new(Result)
	if err := json.Unmarshal(src, rs); err != nil {
		return nil, errors.Wrapf(err, "read result %s", name)
	}
	return rs, nil
}
