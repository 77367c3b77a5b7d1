package config_test

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"damasklatch/core/config"
	"damasklatch/core/id"
)

// fields holds the values that replace the placeholders in the template of the settings file.
var fields = map[string]string{
	"NodeName": "front-hn-a-1", "Zone": "hn-a", "Region": "north", "Ip": "10.1.0.37",
	"ListenAddrs.Front": "10.1.0.37:8388", "ListenAddrs.Ready": "10.1.0.37:8384", "ListenAddrs.Directory": "10.1.0.37:8383", "ListenAddrs.Control": "10.1.0.37:8381",
	"PortRange.0": "7560", "PortRange.1": "7575", "Provider.Address": "10.200.1.7:8382", "Limits.MemoryMb": "284", "Limits.LinkMbps": "200.0",
	"Bounds.RevokeS": "5", "Bounds.DrainTimeoutS": "2.5", "Bounds.GraceS": "6", "Bounds.RetryBudgetRatio": "0.2",
	"Bounds.BudgetWindowS": "10", "Bounds.BudgetSlack": "62", "Bounds.QuotaSlack": "20",
}

var (
	placeholder = regexp.MustCompile(`\{\{([\w.]+)\}\}`)
	section     = regexp.MustCompile(`\{\{#([\w.]+)\}\}(.*?)\{\{/[\w.]+\}\}`)
)

// render fills in the template deploy/settings.yaml as the platform does. It omits the optional sections in without.
func render(t *testing.T, without ...string) string {
	t.Helper()
	src, err := os.ReadFile(filepath.Join("..", "..", "deploy", "settings.yaml"))
	if err != nil {
		t.Fatal(err)
	}
	text := section.ReplaceAllStringFunc(string(src), func(all string) string {
		parts := section.FindStringSubmatch(all)
		switch {
		case parts[1] == "Zones":
			return "{ failure_domain: hn-a, region: north },{ failure_domain: dn-a, region: central }"
		case parts[1] == "Seeds":
			return `{ address: "10.1.0.37:8381" },{ address: "10.2.0.8:8381" }`
		case slices.Contains(without, parts[1]):
			return ""
		default:
			return strings.ReplaceAll(parts[2], "{{.}}", fields[parts[1]])
		}
	})
	return placeholder.ReplaceAllStringFunc(text, func(name string) string { return fields[strings.Trim(name, "{}")] })
}

// Guards against a template that gives invalid settings, because a VM does not start with them.
func TestGatewayTemplate(t *testing.T) {
	Convey("the template with all fields", t, func() {
		gs, err := config.ParseGatewaySettings("settings.yaml", []byte(render(t)))
		So(err, ShouldBeNil)
		So(gs.VM, ShouldEqual, id.VM("front-hn-a-1"))
		So(gs.Regions, ShouldResemble, map[id.FailureDomain]id.Region{"hn-a": "north", "dn-a": "central"})
		So(gs.StatusAddress, ShouldEqual, "10.1.0.37:7560")
		So(gs.RelayAddress, ShouldEqual, "10.1.0.37:8381")
		So(gs.Seeds, ShouldResemble, []string{"10.1.0.37:8381", "10.2.0.8:8381"})
		So(gs.MetricsAddress, ShouldEqual, "10.1.0.37:7575")
		So(gs.DrainWithin, ShouldEqual, 2500*time.Millisecond)
		So(gs.RetryRatio, ShouldEqual, 0.2)
		So(gs.LimitSlack, ShouldEqual, 20.0)
		So(gs.MemoryLimit, ShouldEqual, int64(284_000_000))
		So(gs.LinkRate, ShouldEqual, 200.0)
	})
}

// Guards against a VM that does not start because the deployment omits an optional bound.
func TestGatewayTemplateWithoutBounds(t *testing.T) {
	Convey("the template without optional bounds", t, func() {
		src := render(t, "Bounds.QuotaSlack", "Bounds.GraceS", "Bounds.BudgetSlack", "Bounds.RetryBudgetRatio", "Limits.MemoryMb",
			"Bounds.RevokeS", "Bounds.DrainTimeoutS", "Bounds.BudgetWindowS", "Limits.LinkMbps")
		gs, err := config.ParseGatewaySettings("settings.yaml", []byte(src))
		So(err, ShouldBeNil)
		So(gs.RetryRatio, ShouldEqual, config.DefaultRetryRatio)
		So(gs.Grace, ShouldEqual, 10*time.Second)
	})
}

// Guards against an invalid setting that is accepted or reported without its position.
func TestGatewaySettingsErrors(t *testing.T) {
	Convey("errors in the settings", t, func() {
		for old, tc := range map[string]struct{ replacement, wantError string }{
			"vm: front-hn-a-1":     {`vm: ""`, `field "vm" is empty`},
			"retry_ratio: 0.2":     {"retry_ratio: 1.5", `field "retry_ratio": "1.5" is not a number from 0 to 1`},
			"revoke_within: 5s":    {"revoke_within: 5", `settings.yaml:15:16: field "revoke_within": `},
			"limit_slack: 20":      {"limit_slak: 20", `settings.yaml:21:1: unknown field "limit_slak"`},
			"store_address: 10.20": {"store_address: x10.20", `settings.yaml:11:16: field "store_address": `},
		} {
			src := strings.Replace(render(t), old, tc.replacement, 1)
			_, err := config.ParseGatewaySettings("settings.yaml", []byte(src))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, tc.wantError)
		}
	})
}
