package platform_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"damasklatch/internal/standin/platform"
	"damasklatch/io/store"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// send sends a request to the control endpoint and returns the status and the body of the response.
func send(t *testing.T, sv *platform.Server, method, path, body string) (int, string) {
	t.Helper()
	rq, err := http.NewRequestWithContext(t.Context(), method, "http://"+sv.ControlAddress()+path, strings.NewReader(body))
	So(err, ShouldBeNil)
	tr := &http.Transport{DisableKeepAlives: true}
	rs, err := tr.RoundTrip(rq)
	So(err, ShouldBeNil)
	defer rs.Body.Close()
	src, err := io.ReadAll(rs.Body)
	So(err, ShouldBeNil)
	return rs.StatusCode, string(src)
}

// Guards against control requests that the simulated platform ignores or misinterprets without an error. Scenarios
// would then run without their faults.
func TestControl(t *testing.T) {
	Convey("Given a server", t, func() {
		sv, err := platform.Start(platform.Options{Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:0"})
		So(err, ShouldBeNil)
		defer sv.Close()
		vm := `{"failure_domain":"north-a","peer_address":"127.0.0.1:1","caller_address":"127.0.0.1:2"}`
		cases := []struct {
			method, path, body string
			status             int
		}{
			{http.MethodPost, "/fault", `{"down":true,"stale_by_ms":1000}`, http.StatusOK},
			{http.MethodPost, "/fault", `{"clients":["127.0.0.9"],"silent":true}`, http.StatusOK},
			{http.MethodPost, "/fault", `{"dwon":true}`, http.StatusBadRequest},
			{http.MethodPost, "/fault", `{"down":true}{}`, http.StatusBadRequest},
			{http.MethodPost, "/fault", `{"delay_after_ms":-1}`, http.StatusBadRequest},
			{http.MethodPost, "/fault", `{"lose_answers":-2}`, http.StatusBadRequest},
			{http.MethodPost, "/fault", `{"watch":"slow"}`, http.StatusBadRequest},
			{http.MethodPost, "/fault", `{"clients":["somewhere"]}`, http.StatusBadRequest},
			{http.MethodPost, "/fault", `{"clients":["127.0.0.9"],"freeze_connections":true}`, http.StatusBadRequest},
			{http.MethodPut, "/limits", `{"writes_per_second":1,"reads_per_second":1}`, http.StatusOK},
			{http.MethodPut, "/vms/north-a-1", vm, http.StatusOK},
			{http.MethodPut, "/vms/North", vm, http.StatusBadRequest},
			{http.MethodPut, "/vm_lag", `{"lag_ms":60000}`, http.StatusOK},
			{http.MethodDelete, "/vms/north-a-1", "", http.StatusOK},
		}
		for _, tc := range cases {
			status, _ := send(t, sv, tc.method, tc.path, tc.body)
			So(status, ShouldEqual, tc.status)
		}
		So(sv.Store().Faults().Down, ShouldBeTrue)
		_, err = sv.Store().Get(t.Context(), "a")
		So(errorKind(err), ShouldEqual, store.Unavailable)
		_, body := send(t, sv, http.MethodGet, "/calls", "")
		So(body, ShouldStartWith, `{"get":1,`)
		So(sv.Store().VMList().Records(), ShouldHaveLength, 1)
	})
}

// Guards against a server that keeps running after its context ends, or that reports no error for an unusable
// address.
func TestRun(t *testing.T) {
	Convey("Run ends with its context and reports a bad address", t, func() {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		So(platform.Run(ctx, platform.Options{Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:0"}), ShouldBeNil)
		err := platform.Run(ctx, platform.Options{Address: "127.0.0.1:0", ControlAddress: "127.0.0.1:70000"})
		So(err, ShouldNotBeNil)
	})
}
