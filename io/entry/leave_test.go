package entry_test

import (
	"net/http"
	"testing"
)

// Guards against a VM that leaves and whose callers learn it only when their connection ends: a request that they send at this moment
// is lost.
func TestResponsesAnnounceClose(t *testing.T) {
	rg := newRig(t, echo)
	used := rg.ticket()
	rg.want("before", rg.post("/book/1", withTicket(used)), http.StatusOK, "done", "")
	rg.callers.Leave()
	for name, call := range map[string]func() response{
		"response of a target": func() response { return rg.post("/book/1", withTicket(rg.ticket())) },
		"duplicate":            func() response { return rg.post("/book/1", withTicket(used)) },
		"refusal":              func() response { return rg.post("/book/1") },
		"look-up":              func() response { return rg.call(http.MethodGet, "/v1/lookup?route=read", nil) },
		"refused look-up":      func() response { return rg.call(http.MethodGet, "/v1/lookup?route=none", nil) },
	} {
		if rp := call(); !rp.closes {
			t.Errorf("%s: %v doesn't announce the close of its connection", name, rp)
		}
	}
}
