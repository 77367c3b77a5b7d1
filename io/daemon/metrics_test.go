package daemon

import (
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"damasklatch/core/config"
	"damasklatch/core/limit"
	"damasklatch/internal/configdir"
	"damasklatch/io/entry"
	"damasklatch/io/metrics"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/fx"
)

var (
	metricType   = regexp.MustCompile(`(?m)^# TYPE (\S+) (\S+)$`)
	metricSample = regexp.MustCompile(`(?m)^(\w+?)(?:_bucket|_sum|_count)?\{(.*)\} `)
	metricTag    = regexp.MustCompile(`(\w+)="`)
	metricRow    = regexp.MustCompile("(?m)^\\| `(damasklatch_\\w+)` \\| (\\w+) \\| [^|]+ \\| ([^|]+) \\|")
)

// metricInfo holds what is compared between docs/metrics.md and the exported metrics.
type metricInfo struct{ kind, tags string }

// parseExported parses the Prometheus text format. It leaves out the label le, which holds the bounds of histogram buckets.
func parseExported(text string) map[string]metricInfo {
	all := make(map[string]metricInfo)
	for _, mt := range metricType.FindAllStringSubmatch(text, -1) {
		all[mt[1]] = metricInfo{kind: mt[2]}
	}
	for _, mt := range metricSample.FindAllStringSubmatch(text, -1) {
		var tags []string
		for _, tag := range metricTag.FindAllStringSubmatch(mt[2], -1) {
			if tag[1] != "le" {
				tags = append(tags, tag[1])
			}
		}
		slices.Sort(tags)
		all[mt[1]] = metricInfo{all[mt[1]].kind, strings.Join(tags, " ")}
	}
	return all
}

// unstartedDaemon is a daemon with all its services and a configuration, of which no service is started.
type unstartedDaemon struct {
	ct *Controller
	sv *entry.Server
	mt *metrics.Metrics
}

func newUnstartedDaemon(t *testing.T) *unstartedDaemon {
	t.Helper()
	cfg, _, err := configdir.Load(filepath.Join("..", "..", "examples", "sang_den"))
	if err != nil {
		t.Fatal(err)
	}
	cfg.Generation = 7
	for nr := range cfg.Sites {
		cfg.Sites[nr].Targets[0].Drained = true
	}
	mw := new(unstartedDaemon)
	ds := &config.DaemonSettings{
		VM: "north-a-1", FailureDomain: "north-a", PeerAddress: "127.0.0.1:17101", StoreAddress: "127.0.0.1:16000",
		FleetSecret: []byte(strings.Repeat("f", 32)), TimelineEvents: 10, RequestTableSize: 10,
	}
	app := fx.New(fx.Supply(Environment{}, ds, slog.New(slog.DiscardHandler)), services, fx.NopLogger,
		fx.Populate(&mw.ct, &mw.sv, &mw.mt))
	if err := app.Err(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { mw.close(t) })
	mw.ct.Ledger.SetOwned(time.Now(), limit.OwnedFractions{PPM: 500_000, FailureDomainPPM: 1_000_000, RegionPPM: 1_000_000})
	mw.ct.apply(time.Now(), cfg)
	return mw
}

// close closes the scope, which reports the values that were not reported yet.
func (mw *unstartedDaemon) close(t *testing.T) {
	if cl, ok := mw.mt.Scope.(io.Closer); !ok || cl.Close() != nil {
		t.Error("the scope can't be closed")
	}
}

// scrape returns the response of /metrics after the daemon has served a request.
func (mw *unstartedDaemon) scrape(t *testing.T) string {
	t.Helper()
	mw.ct.setGauges(time.Now())
	mw.sv.HTTPServer().Handler.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/lamps/1", nil))
	mw.close(t)
	rw := httptest.NewRecorder()
	mw.mt.Handler.ServeHTTP(rw, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	return rw.Body.String()
}

// Guards against a metric that docs/metrics.md does not describe, or describes with a wrong kind or wrong tags.
func TestMetricsPage(t *testing.T) {
	text := newUnstartedDaemon(t).scrape(t)
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "metrics.md"))
	if err != nil {
		t.Fatal(err)
	}
	described := make(map[string]metricInfo)
	for _, row := range metricRow.FindAllStringSubmatch(string(page), -1) {
		tags := strings.Fields(strings.NewReplacer("`", "", ",", "", "none", "").Replace(row[3]))
		slices.Sort(tags)
		described[row[1]] = metricInfo{row[2], strings.Join(tags, " ")}
	}
	got := parseExported(text)
	if len(got) == 0 {
		t.Fatalf("/metrics exports no metrics: %s", text)
	}
	if diff := cmp.Diff(described, got, cmp.AllowUnexported(metricInfo{})); diff != "" {
		t.Errorf("docs/metrics.md (-) differs from /metrics (+):\n%s", diff)
	}
	for _, name := range regexp.MustCompile(`damasklatch_\w+`).FindAllString(string(page), -1) {
		if _, ok := got[name]; !ok {
			t.Errorf("docs/metrics.md names %s, which is not exported; exported metrics: %v", name, slices.Sorted(maps.Keys(got)))
		}
	}
}

// Guards against gauges with a wrong unit or value.
func TestGaugeValues(t *testing.T) {
	text := newUnstartedDaemon(t).scrape(t)
	for _, line := range []string{
		"damasklatch_generation 7\n", "damasklatch_ready 1\n", `damasklatch_members{state="dead"} 0` + "\n",
		`damasklatch_targets{pool="parts-desk",state="usable"} 4` + "\n",
		`damasklatch_targets{pool="parts-desk",state="draining"} 1` + "\n",
		`damasklatch_slots_owned{resource="pool/north-a/parts-desk"} 8` + "\n",
	} {
		if !strings.Contains(text, line) {
			t.Errorf("/metrics lacks %q:\n%s", line, text)
		}
	}
}

// Guards against a gauge that keeps its last value after the configuration has removed its resource.
func TestGaugeOfRemovedResource(t *testing.T) {
	mw := newUnstartedDaemon(t)
	mw.ct.setGauges(time.Now())
	cfg := *mw.ct.cfg
	cfg.Generation++
	removed := cfg.Teams[0].Name
	cfg.Teams = cfg.Teams[1:]
	mw.ct.apply(time.Now(), &cfg)
	want := fmt.Sprintf("damasklatch_share_owned{resource=%q} 0\n", limit.TeamResource(removed))
	if text := mw.scrape(t); !strings.Contains(text, want) {
		t.Errorf("/metrics lacks %q:\n%s", want, text)
	}
}

// Guards against a status that omits targets, so that an operator can't see whether a drain is complete.
func TestStatusTargets(t *testing.T) {
	tgs := newUnstartedDaemon(t).ct.status(time.Now()).GetTargets()
	if len(tgs) != 7 {
		t.Fatalf("status has %d targets, want the 7 targets of the VM's failure domain: %v", len(tgs), tgs)
	}
	for _, tg := range tgs {
		state := "usable"
		if tg.GetTarget() == "north-a-parts-desk-1" {
			state = "draining"
		}
		if tg.GetState() != state || tg.GetPool() == "" || tg.GetSlots() == 0 && state == "usable" || tg.GetInFlight() != 0 {
			t.Errorf("status of a target is %v, want state %s, a pool, slots if usable, and no requests in flight", tg, state)
		}
	}
}
