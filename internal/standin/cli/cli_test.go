package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"damasklatch/core/config"
	"damasklatch/core/id"
	"damasklatch/internal/configdir"
	"damasklatch/internal/standin/caller"
	"damasklatch/internal/standin/cli"

	. "github.com/smartystreets/goconvey/convey"
)

const examples = "../../../examples"

// Guards against command lines that fail without naming the reason, or with the exit status of success.
func TestCommandLine(t *testing.T) {
	empty := filepath.Join(t.TempDir(), "empty.jsonl")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, tc := range []struct {
		args      string
		status    int
		out, diag string
	}{
		{"", 2, "", "subcommand is missing"},
		{"tagets", 2, "", "tagets"},
		{"--help", 0, "platform", ""},
		{"targets --help", 0, "--load-lag", ""},
		{"targets --failure-domain north-a", 2, "", "CONFIG is required"},
		{"targets --config absent --failure-domain north-a", 1, "", "base.yaml"},
		{"targets --config " + examples + "/sang_den --failure-domain north-z", 1, "", `"north-z" has no targets`},
		{"targets --config absent --failure-domain a --service lamps=5ms:0.3 photos=2s", 1, "", "base.yaml"},
		{"targets --config absent --failure-domain a --service lamps=5ms:x", 2, "", "sigma"},
		{"callers --scenario absent.yaml", 1, "", "absent.yaml"},
		{"report --config " + examples + "/sang_den --callers " + empty + " --targets " + empty, 0, `"requests":0`, ""},
		{"report --config " + examples + "/sang_den --callers absent --targets " + empty, 1, "", "absent"},
	} {
		Convey("Given: damasklatch-standin "+tc.args, t, func() {
			var out, diag bytes.Buffer
			So(cli.Run(t.Context(), strings.Fields(tc.args), &out, &diag), ShouldEqual, tc.status)
			So(out.String(), ShouldContainSubstring, tc.out)
			So(diag.String(), ShouldContainSubstring, tc.diag)
		})
	}
}

// Guards against example scenarios that do not match the configuration next to them. A wrong path or a missing
// permission would only show as refused requests.
func TestExampleScenarios(t *testing.T) {
	for _, dep := range []string{"sang_den", "enguia_do_sul"} {
		Convey("Given the scenario of "+dep, t, func() {
			ef, _, err := configdir.Load(filepath.Join(examples, dep))
			So(err, ShouldBeNil)
			src, err := os.ReadFile(filepath.Join(examples, dep, "callers.yaml"))
			So(err, ShouldBeNil)
			sc, err := caller.ParseScenario("callers.yaml", src)
			So(err, ShouldBeNil)
			for _, tm := range sc.Teams {
				for _, wk := range tm.Mix {
					rt, ok := ef.RouteFor(wk.Path)
					So(ok, ShouldBeTrue)
					So(rt.Name, ShouldEqual, wk.Route)
					So(rt.Idempotent, ShouldEqual, wk.Idempotent)
					So(rt.Methods, ShouldContain, wk.Method)
					So(wk.UploadBytes, ShouldBeLessThanOrEqualTo, rt.MaxBodyBytes)
					So(permitted(ef, tm.Team, rt), ShouldBeTrue)
				}
			}
		})
	}
}

// permitted reports whether a team may use a route. A name that is not a configured team may use open routes only.
func permitted(ef *config.Effective, name id.Team, rt *config.Route) bool {
	if tm, ok := ef.Team(name); ok {
		return slices.Contains(tm.Routes, rt.Name)
	}
	return rt.Access == config.AccessOpen
}
