package gateway

import (
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"testing"
	"time"

	"damasklatch/core/placement"
	"damasklatch/io/metrics"
)

var served = regexp.MustCompile(`(?m)^# TYPE (damasklatch_\w+) `)

// The documentation must list every metric that a gateway exports, and no other.
func TestMetricsPage(t *testing.T) {
	mt := metrics.New()
	gm := NewMetrics(mt.Scope)
	gm.countAttempt(placement.Succeeded)
	gm.countResult("", lossSlow, time.Second)
	gm.dropped.Inc(1)
	gm.countNotice(noticeLeaving)
	gm.countUnstated(http.StatusServiceUnavailable)
	gm.setCopyAge("targets", time.Second, 1)
	gm.setTargets(nil)
	time.Sleep(metrics.ReportInterval + 200*time.Millisecond) // values become visible after an interval
	rec := httptest.NewRecorder()
	mt.Handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	var have []string
	for _, found := range served.FindAllStringSubmatch(rec.Body.String(), -1) {
		have = append(have, found[1])
	}
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "metrics-gateway.md"))
	if err != nil {
		t.Fatal(err)
	}
	var listed []string
	for _, found := range regexp.MustCompile("(?m)^\\| `(damasklatch_\\w+)`").FindAllSubmatch(page, -1) {
		listed = append(listed, string(found[1]))
	}
	slices.Sort(have)
	slices.Sort(listed)
	if !slices.Equal(have, listed) {
		t.Errorf("exported:   %v\ndocumented: %v", have, listed)
	}
}
