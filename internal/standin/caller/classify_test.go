package caller

import (
	"errors"
	"net"
	"testing"

	"damasklatch/internal/standin/record"
)

// Guards against the outcome not_run for a request that may have run: the first connection reached a VM that was then
// killed, and http.Transport could not connect for its own retry.
func TestClassify(t *testing.T) {
	dial := &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	for _, tc := range []struct {
		err       error
		connected bool
		want      record.Outcome
	}{
		{dial, false, record.NotRun},
		{dial, true, record.Unknown},
		{errors.New("connection reset"), true, record.Unknown},
	} {
		if got, _ := classify(tc.err, tc.connected); got != tc.want {
			t.Errorf("classify(%v, connected %v) = %s, want %s", tc.err, tc.connected, got, tc.want)
		}
	}
}
