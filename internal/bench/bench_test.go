package bench

import (
	"bytes"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"damasklatch/core/config"
)

// Guards against a fit that confuses the growth with daemons and the growth with failure domains, and against a fit to too
// few points.
func TestLeastSquares(t *testing.T) {
	var rows [][]float64
	var values []float64
	for _, sh := range controlShapes() {
		rows = append(rows, []float64{1, float64(sh.perDomain), float64(sh.domains)})
		values = append(values, 5+3*float64(sh.perDomain)+0.25*float64(sh.domains))
	}
	got, err := leastSquares(rows, values)
	if err != nil {
		t.Fatal(err)
	}
	near := cmp.Comparer(func(fa, fb float64) bool { return math.Abs(fa-fb) < 1e-6 })
	if df := cmp.Diff([]float64{5, 3, 0.25}, got, near); df != "" {
		t.Errorf("coefficients (-want +got):\n%s", df)
	}
	if _, err := leastSquares(rows[:2], values[:2]); err == nil {
		t.Error("leastSquares fitted a plane to two points, want an error")
	}
}

// Guards against a table that reports a missed target as met, or compares with the wrong series of the baseline.
func TestTable(t *testing.T) {
	rs := &Result{Measurement: "test"}
	for _, value := range []float64{30, 10, 20} {
		rs.add("time", "ms", atMost(19), value)
		rs.add("rate", "1/s", atLeast(19), value)
	}
	rs.summarize()
	base := &Result{Series: []*Series{{Name: "rate", Unit: "s"}, {Name: "rate", Unit: "1/s", Median: 16}}}
	var out bytes.Buffer
	rs.WriteTable(&out, base)
	var got [][]string
	for line := range strings.Lines(out.String()) {
		if words := strings.Fields(line); len(words) > 1 && (words[0] == "time" || words[0] == "rate") {
			got = append(got, words)
		}
	}
	want := [][]string{
		{"time", "ms", "20", "10", "30", "at", "most", "19", "no"},
		{"rate", "1/s", "20", "10", "30", "at", "least", "19", "yes", "16", "+25.0%"},
	}
	if df := cmp.Diff(want, got); df != "" {
		t.Errorf("rows (-want +got):\n%s", df)
	}
}

// Guards against result files that lose data and so cannot serve as a baseline.
func TestResultFile(t *testing.T) {
	rs := &Result{Measurement: "test", Command: "cmd", Repeats: 1, Curves: []Curve{{Plot: "p", X: []float64{1}, Y: []float64{2}}}}
	rs.add("time", "ms", atMost(1), 2)
	rs.summarize()
	name := filepath.Join(t.TempDir(), "new", "result.json")
	if err := rs.WriteFile(name); err != nil {
		t.Fatal(err)
	}
	got, err := ReadResult(name)
	if err != nil {
		t.Fatal(err)
	}
	if df := cmp.Diff(rs, got); df != "" {
		t.Errorf("result (-written +read):\n%s", df)
	}
}

// Guards against a generated configuration that is invalid or smaller than the design size, and against a change of one
// block that changes more than one part.
func TestFixture(t *testing.T) {
	sz := designSize()
	cfg, err := sz.sources(0).Merge()
	if err != nil {
		t.Fatal(err)
	}
	if len(cfg.Blocks) != designBlocks || len(cfg.Sites) != designSites || len(cfg.FailureDomains) != designDomains {
		t.Errorf("the configuration has %d blocks, %d sites, %d failure domains", len(cfg.Blocks), len(cfg.Sites), len(cfg.FailureDomains))
	}
	var refs [2][]config.PartRef
	for moved := range refs {
		parts, err := sz.sources(moved).Parts()
		if err != nil {
			t.Fatal(err)
		}
		refs[moved] = config.NewPartRefs(parts)
	}
	changed := 0
	for nr := range refs[0] {
		if refs[0][nr] != refs[1][nr] {
			changed++
		}
	}
	if changed != 1 {
		t.Errorf("moving one block changed %d parts, want 1", changed)
	}
}

// Guards against a page that omits a failed test or includes lines that tests did not log.
func TestPageOfTestLog(t *testing.T) {
	log := "go test ./x\n=== RUN   TestA\n    a_test.go:7: 12 VMs: 5 calls\n--- PASS: TestA (0.1s)\n--- FAIL: TestB (0.1s)\nFAIL\tx\t0.2s\n"
	name := filepath.Join(t.TempDir(), "x.log")
	if err := os.WriteFile(name, []byte(log), 0o600); err != nil {
		t.Fatal(err)
	}
	var page bytes.Buffer
	if err := writeTestSection(&page, name); err != nil {
		t.Fatal(err)
	}
	_, got, _ := strings.Cut(page.String(), "```\n")
	if df := cmp.Diff("12 VMs: 5 calls\n--- FAIL: TestB (0.1s)\nFAIL\tx\t0.2s\n```\n", got); df != "" {
		t.Errorf("lines (-want +got):\n%s", df)
	}
}

// Guards against a panic when a daemon cannot start. The daemons that already run would then not be stopped.
func TestFleetWithoutProgram(t *testing.T) {
	fl, err := startFleet(t.Context(), filepath.Join(t.TempDir(), "missing"), configSize{
		regions: 1, domains: 1, perDomain: 1, sites: 1, blocks: 1, targets: 1, slots: 1,
	})
	if err == nil {
		fl.stop()
		t.Error("startFleet succeeded although the daemon program does not exist")
	}
}

// Guards against wrong exit codes for invalid command lines and --help.
func TestRunUsage(t *testing.T) {
	for _, tc := range []struct {
		args []string
		want int
	}{{nil, exitUsage}, {[]string{"unknown"}, exitUsage}, {[]string{"--help"}, exitOK}, {[]string{"steer", "--repeat", "0"}, exitFailed}} {
		var out, diag bytes.Buffer
		if got := Run(t.Context(), tc.args, &out, &diag); got != tc.want {
			t.Errorf("%v: exit code %d, want %d: %s%s", tc.args, got, tc.want, &out, &diag)
		}
	}
}
